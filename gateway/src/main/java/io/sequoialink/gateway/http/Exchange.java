package io.sequoialink.gateway.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.sequoialink.decision.cascade.ConfidenceCascade;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.ClientAccount;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.Route;
import io.sequoialink.gateway.flow.Next;
import io.sequoialink.gateway.flow.RequestFlow;
import io.sequoialink.gateway.place.EngineWork;
import io.sequoialink.gateway.place.PlaceRequest;
import io.sequoialink.gateway.place.Placed;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.rollout.VersionGroup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries one request from its receipt to its final answer, as {@link RequestFlow}
 * decides. Confined to the event loop.
 */
final class Exchange {

	private static final Logger logger = LoggerFactory.getLogger(Exchange.class);

	/** Time below which another send would not be answered, in milliseconds. */
	private static final long MIN_SEND_MILLIS = 30;

	/** Time below which a larger model is not asked, in milliseconds. */
	private static final long MIN_ESCALATE_MILLIS = 800;

	/** Distance between the ranks of routes, so that size can decide within a rank. */
	private static final int RANKS_APART = 2;

	/** Least urgent rank that a server knows. */
	private static final int LAST_RANK = 9;

	/** Prompts above this wait behind shorter ones of the same rank. */
	private static final int LONG_PROMPT_TOKENS = 6000;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final Gateway gateway;

	private final ClientConnection client;

	private final ClientRequest request;

	private final RequestFacts facts;

	private final Set<String> tried = new HashSet<>();

	private Route route;

	private String service;

	private Optional<ClientAccount> account = Optional.empty();

	private RequestFlow flow;

	private long deadlineNanos;

	private Future<?> deadlineTimer;

	private Attempt attempt;

	private KeptFailure failure;

	private Future<?> holdTimer;

	private boolean begun;

	private String lastEvent;

	private PromptShape prompt;

	private int model = -1;

	private int droppedModel = -1;

	private long pinKey;

	Exchange(Gateway gateway, ClientConnection client, ClientRequest request) {
		this.gateway = gateway;
		this.client = client;
		this.request = request;
		this.facts = gateway.dialect().request(request.headers());
	}

	/**
	 * Admits the request and sends it, or answers it at once; waits a moment if the host
	 * has only just started.
	 */
	void start() {
		StartGate gate = this.gateway.gate();
		if (gate.isOpen() || !gate.hold(this::goOn)) {
			goOn();
			return;
		}
		this.holdTimer = this.client.schedule(this::goOn, StartGate.MAX_HOLD_MILLIS);
	}

	private void goOn() {
		if (this.begun) {
			return;
		}
		this.begun = true;
		if (this.holdTimer != null) {
			this.holdTimer.cancel(false);
		}
		Optional<OwnAnswer> refusal = admit();
		if (refusal.isPresent()) {
			finishOwn(refusal.get());
			return;
		}
		this.flow = new RequestFlow(this.route.repeatable(), this.route.maxAttempts());
		this.lastEvent = this.facts.lastEvent().orElse(null);
		long allowed = Math.min(this.facts.deadlineMillis().orElse(this.route.timeoutMillis()),
				this.route.timeoutMillis());
		this.deadlineNanos = this.request.receivedNanos() + allowed * NANOS_PER_MILLI;
		this.deadlineTimer = this.client.schedule(this::deadlineOver, remainingMillis());
		this.gateway.budget().request(this.service, now());
		this.pinKey = Hashing.wyhashFinal4().hashStream().putString(pinName()).getAsLong();
		this.prompt = PromptShape.of(this.facts);
		if (!this.route.models().isEmpty()) {
			this.gateway.density().observe(this.route.name(), this.facts.promptTokens());
			this.model = this.gateway.cascade().start(this.route.name(), timing(), strain());
		}
		send();
	}

	private String pinName() {
		return this.facts.session().or(this.facts::id).orElse("");
	}

	private Optional<OwnAnswer> admit() {
		Configuration known = this.gateway.view().configuration().orElse(null);
		if (known == null) {
			return Optional.of(OwnAnswer.notRun("no configuration yet", retryAfterMillis()));
		}
		if (this.facts.id().isEmpty()) {
			return Optional.of(OwnAnswer.of(400, "no request id"));
		}
		Optional<Route> found = known.route(this.request.host(), this.request.path());
		if (found.isEmpty()) {
			return Optional.of(OwnAnswer.of(404, "no route"));
		}
		this.route = found.get();
		this.service = ServiceDraw.draw(this.route.services(), this.facts.session().or(this.facts::id).orElse(""));
		this.account = this.facts.key().flatMap(known::account);
		if (known.keysRequired() && !this.route.open() && this.account.isEmpty()) {
			return Optional.of(OwnAnswer.of(401, "unknown key"));
		}
		return Optional.empty();
	}

	private void send() {
		if (remainingMillis() < MIN_SEND_MILLIS) {
			perform(this.flow.noRoom());
			return;
		}
		VersionGroup versions = this.gateway.rollouts()
			.choose(this.service, this.pinKey, this.facts.session().isPresent());
		EngineWork work = this.prompt.work(modelName().orElse(""));
		PlaceRequest wanted = new PlaceRequest(this.service, versions, this.gateway.rollouts().target(this.service),
				work, this.tried);
		Optional<Placed> placed = this.gateway.choice().choose(wanted);
		if (placed.isEmpty()) {
			perform(this.flow.noRoom());
			return;
		}
		send(placed.get(), work);
	}

	private void send(Placed placed, EngineWork work) {
		ServerState server = placed.server();
		this.flow.sent();
		this.tried.add(server.entry().id());
		if (this.facts.session().isPresent()) {
			this.gateway.rollouts().sent(server.entry().version(), this.pinKey);
		}
		this.attempt = new Attempt(this, placed, work);
		BackendSend send = new BackendSend(this.facts.id().orElseThrow(), outgoing(server), this.attempt);
		this.attempt.begin(send);
		boolean onlyNew = !this.route.repeatable();
		this.gateway.pool().send(server.entry(), send, onlyNew);
	}

	private Optional<String> modelName() {
		return (this.model >= 0) ? Optional.of(this.route.models().get(this.model)) : this.facts.model();
	}

	/**
	 * Judges an answer by its model's opinion, before any of it is handed on.
	 * @param opinion the opinion, from 0 to 100
	 * @return whether the answer was dropped in favour of a larger model's
	 */
	boolean dropFor(int opinion) {
		if (this.model < 0 || this.flow.answerBegun()) {
			return false;
		}
		if (this.droppedModel >= 0) {
			this.gateway.cascade().escalated(this.route.name(), this.droppedModel, this.model, opinion);
		}
		OptionalInt larger = this.gateway.cascade()
			.judge(this.route.name(), this.model, opinion, prices(), timing(), strain());
		if (larger.isEmpty() || remainingMillis() < MIN_ESCALATE_MILLIS || !this.flow.sendsLeft()
				|| !this.gateway.budget().tryRepeat(this.service, now())) {
			return false;
		}
		logger.info(GatewayEvents.ANSWER_DROPPED, id(), modelName().orElse(""), opinion,
				this.route.models().get(larger.getAsInt()));
		this.droppedModel = this.model;
		this.model = larger.getAsInt();
		return true;
	}

	/**
	 * Sends the request again after an answer was dropped.
	 */
	void sendInstead() {
		this.tried.clear();
		perform(this.flow.dropped());
	}

	private ConfidenceCascade.Timing timing() {
		List<Double> millis = new ArrayList<>();
		for (String name : this.route.models()) {
			millis.add(this.gateway.speed().millis(name, this.facts.promptTokens()));
		}
		double elapsed = (now() - this.request.receivedNanos()) / (double) NANOS_PER_MILLI;
		double left = (this.route.targetMillis() > 0) ? Math.max(1, this.route.targetMillis() - elapsed) : 0;
		return new ConfidenceCascade.Timing(millis, left);
	}

	private List<Double> prices() {
		Map<String, Double> costs = new HashMap<>();
		this.gateway.view()
			.configuration()
			.flatMap((known) -> known.service(this.service))
			.ifPresent((known) -> known.models().forEach((cost) -> costs.put(cost.name(), cost.cost())));
		List<Double> prices = new ArrayList<>();
		for (String name : this.route.models()) {
			prices.add(costs.getOrDefault(name, 1.0));
		}
		return prices;
	}

	private FullHttpRequest outgoing(ServerState server) {
		HttpHeaders headers = ConnectionHeaders.without(this.request.headers());
		Optional<String> chosen = (this.model >= 0) ? modelName() : Optional.empty();
		OptionalInt rank = this.route.streaming() ? OptionalInt.of(rank()) : OptionalInt.empty();
		this.gateway.dialect()
			.dispatch(headers, new DispatchFacts(server.entry().id(), remainingMillis(),
					this.account.map(ClientAccount::name), chosen, rank, Optional.ofNullable(this.lastEvent)));
		ByteBuf body = this.request.body().retainedDuplicate();
		if (body.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		FullHttpRequest outgoing = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.method(),
				this.request.target(), body, headers, new DefaultHttpHeaders());
		return outgoing;
	}

	// The strain as it counts for this request.
	private double strain() {
		return this.gateway.strain().value()
				* this.gateway.density().of(this.route.name(), this.facts.promptTokens(), urgency());
	}

	private int urgency() {
		return this.account.map(ClientAccount::rank).orElse(OptionalInt.empty()).orElse(this.route.rank());
	}

	private int rank() {
		int doubled = RANKS_APART * Math.max(0, Math.min(urgency(), LAST_RANK / RANKS_APART));
		return doubled + ((this.facts.promptTokens() > LONG_PROMPT_TOKENS) ? 1 : 0);
	}

	// Notes when the first part of the client's answer was there.
	private void began() {
		if (this.route.targetMillis() > 0) {
			double millis = (now() - this.request.receivedNanos()) / (double) NANOS_PER_MILLI;
			this.gateway.strain().observe(millis / this.route.targetMillis(), now());
		}
	}

	/**
	 * A send ended, and the request was not run by it.
	 */
	void notRun() {
		perform(this.flow.notRun(mayRepeat()));
	}

	/**
	 * A send ended without a whole answer.
	 */
	void broken() {
		perform(this.flow.broken(this.route.repeatable() && mayRepeat()));
	}

	/**
	 * A send ended with a failure that its server signed.
	 * @param kept the failure
	 */
	void failed(KeptFailure kept) {
		dropFailure();
		this.failure = kept;
		perform(this.flow.failed(this.route.repeatable() && mayRepeat()));
	}

	private boolean mayRepeat() {
		return this.flow.sendsLeft() && remainingMillis() >= MIN_SEND_MILLIS
				&& this.gateway.budget().tryRepeat(this.service, now());
	}

	/**
	 * Hands on a whole successful answer.
	 * @param status status code
	 * @param headers headers of the answer
	 * @param body the body; ownership passes on
	 */
	void passWhole(int status, HttpHeaders headers, ByteBuf body) {
		this.flow.answering();
		this.flow.answered();
		this.client.answerWhole(status, ConnectionHeaders.without(headers), body);
		finish(status, "answered");
	}

	/**
	 * Hands on whole events of a stream.
	 * @param status status code
	 * @param headers headers of the answer
	 * @param events the events; ownership passes on
	 * @param lastId id of the last of them
	 */
	void passEvents(int status, HttpHeaders headers, ByteBuf events, Optional<String> lastId) {
		if (!this.flow.answerBegun()) {
			this.flow.answering();
			began();
			this.client.answerHead(status, ConnectionHeaders.without(headers));
		}
		lastId.ifPresent((id) -> this.lastEvent = id);
		boolean writable = this.client.answerPart(events);
		if (!writable && this.attempt != null) {
			this.attempt.read(false);
		}
	}

	/**
	 * Ends a stream whose last event was handed on.
	 */
	void passEnd() {
		this.flow.answered();
		this.client.answerEnd();
		finish(200, "answered");
	}

	/**
	 * The client's connection takes more bytes, or takes none for now.
	 * @param writable whether it takes more
	 */
	void writable(boolean writable) {
		if (this.attempt != null) {
			this.attempt.read(writable);
		}
	}

	private void perform(Next next) {
		switch (next) {
			case SEND -> send();
			case REFUSE -> finishOwn(OwnAnswer.notRun("not run", retryAfterMillis()));
			case REPORT_UNKNOWN -> finishOwn(OwnAnswer.of(502, "outcome unknown"));
			case REPORT_TIMEOUT -> finishOwn(OwnAnswer.of(504, "time over, outcome unknown"));
			case PASS_FAILURE -> passFailure();
			case CUT -> cut();
			case ABANDON -> finish(0, "client gone");
			case NOTHING -> {
			}
		}
	}

	private void passFailure() {
		KeptFailure kept = this.failure;
		this.failure = null;
		this.client.answerWhole(kept.status(), ConnectionHeaders.without(kept.headers()), kept.body());
		finish(kept.status(), "failed at the server");
	}

	private void cut() {
		this.client.cut();
		finish(0, "cut");
	}

	private void finishOwn(OwnAnswer answer) {
		this.client.answerOwn(answer, this.facts.id().orElse(null));
		finish(answer.status(), answer.reason());
	}

	private void deadlineOver() {
		if (this.flow.done()) {
			return;
		}
		perform(this.flow.timedOut());
	}

	/**
	 * The client has closed its connection.
	 */
	void clientGone() {
		if (this.flow == null) {
			this.begun = true;
			finish(0, "client gone");
			return;
		}
		perform(this.flow.clientGone());
	}

	private void finish(int status, String outcome) {
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel(false);
		}
		String server = (this.attempt != null) ? this.attempt.serverId() : "none";
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		dropFailure();
		this.request.release();
		if (logger.isInfoEnabled()) {
			logger.info(GatewayEvents.REQUEST_ENDED, this.facts.id().orElse("unnamed"),
					this.account.map(ClientAccount::name).orElse("none"),
					(this.route != null) ? this.route.name() : "none", status,
					(this.flow != null) ? this.flow.ran() : "NO", (this.flow != null) ? this.flow.attempts() : 0,
					server, (now() - this.request.receivedNanos()) / NANOS_PER_MILLI, outcome);
		}
	}

	private void dropFailure() {
		if (this.failure != null) {
			this.failure.body().release();
			this.failure = null;
		}
	}

	/**
	 * Returns the time that is left for the request.
	 * @return milliseconds, 0 or less if the time is over
	 */
	long remainingMillis() {
		return (this.deadlineNanos - now()) / NANOS_PER_MILLI;
	}

	private long retryAfterMillis() {
		return 300;
	}

	/**
	 * Notes an answer for the judgement of versions.
	 * @param server server that gave it
	 * @param bad whether it was a failure or several times slower than usual
	 */
	void judged(ServerState server, boolean bad) {
		this.gateway.rollouts().answered(this.service, server.entry().version(), this.route.name(), bad);
	}

	/**
	 * Returns whether a server's version is the one that its service is moved to.
	 * @param server the server
	 * @return whether the version is on trial
	 */
	boolean onTrial(ServerState server) {
		return server.entry().version().equals(this.gateway.rollouts().target(this.service));
	}

	Gateway gateway() {
		return this.gateway;
	}

	String routeName() {
		return this.route.name();
	}

	boolean streaming() {
		return this.route.streaming();
	}

	String id() {
		return this.facts.id().orElse("unnamed");
	}

	long now() {
		return this.gateway.clock().getAsLong();
	}

	int attempts() {
		return this.flow.attempts();
	}

	static long millis(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos);
	}

}
