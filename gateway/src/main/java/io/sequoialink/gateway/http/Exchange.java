package io.sequoialink.gateway.http;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.sequoialink.gateway.fleet.ClientAccount;
import io.sequoialink.gateway.fleet.Route;
import io.sequoialink.gateway.flow.Next;
import io.sequoialink.gateway.flow.Ran;
import io.sequoialink.gateway.flow.RequestFlow;
import io.sequoialink.gateway.place.EngineWork;
import io.sequoialink.gateway.place.PlaceRequest;
import io.sequoialink.gateway.place.Placed;
import io.sequoialink.gateway.place.ServerState;

/**
 * Carries one request from its receipt to its final answer, as {@link RequestFlow}
 * decides. Confined to the event loop.
 */
final class Exchange {

	/** Time below which another send would not be answered, in milliseconds. */
	private static final long MIN_SEND_MILLIS = 30;

	/** Time below which a larger model is not asked, in milliseconds. */
	private static final long MIN_ESCALATE_MILLIS = 800;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final Gateway gateway;

	private final ClientConnection client;

	private final ClientRequest request;

	private final RequestFacts facts;

	private Admission admission;

	private RequestFlow flow;

	private long deadlineNanos;

	private Future<?> deadlineTimer;

	private Attempt attempt;

	private KeptFailure failure;

	private Future<?> holdTimer;

	private boolean begun;

	private Dispatch dispatch;

	private ModelChoice models;

	private String reason = "";

	private ContentSuspicion suspicion;

	private long comeBackMillis = OwnAnswer.RETRY_MILLIS;

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
		this.admission = Admission.of(this.gateway.view().configuration(), this.request, this.facts);
		if (this.admission.refusal().isPresent()) {
			finishOwn(this.admission.refusal().get());
			return;
		}
		admitted();
		send();
	}

	private void admitted() {
		Route route = route();
		this.flow = new RequestFlow(route.repeatable(), route.maxAttempts());
		long allowed = Math.min(this.facts.deadlineMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
		this.deadlineNanos = this.request.receivedNanos() + allowed * NANOS_PER_MILLI;
		this.deadlineTimer = this.client.schedule(this::deadlineOver, remainingMillis());
		this.gateway.budget().request(service(), now());
		this.suspicion = new ContentSuspicion(this.gateway, this.request, this.facts.key().orElse("none"));
		this.models = new ModelChoice(this.gateway, this.admission, this.facts, this.request.receivedNanos());
		this.dispatch = new Dispatch(this.gateway, this.request, this.facts, this.admission, this.models);
	}

	private Route route() {
		return this.admission.route();
	}

	private String service() {
		return this.admission.service();
	}

	private void send() {
		if (remainingMillis() < MIN_SEND_MILLIS) {
			this.reason = "too little time left";
			perform(this.flow.noRoom());
			return;
		}
		if (this.suspicion.blocked()) {
			this.reason = this.suspicion.reason();
			this.comeBackMillis = this.suspicion.comeBackMillis();
			perform(this.flow.noRoom());
			return;
		}
		PlaceRequest wanted = this.dispatch.wanted();
		Optional<Placed> placed = this.gateway.choice().choose(wanted);
		if (placed.isEmpty()) {
			this.reason = "no server of " + service() + " for versions " + wanted.versions();
			noteSpared();
			perform(this.flow.noRoom());
			return;
		}
		send(placed.get(), wanted.work());
	}

	// Clients come back one after the other once the first server takes requests again.
	private void noteSpared() {
		this.gateway.servers().sparedMillis(service()).ifPresent((millis) -> {
			this.reason += ", the first that wants to be spared returns in " + millis + " ms";
			this.comeBackMillis = OwnAnswer.spread(millis, ThreadLocalRandom.current().nextDouble());
		});
	}

	/**
	 * A server ended its connection without a whole answer: finds out whether it crashed.
	 * @param server the server
	 * @param sentNanos monotonic time at which the request was sent there
	 */
	void disconnected(ServerState server, long sentNanos) {
		this.suspicion.disconnected(server, sentNanos);
	}

	private void noteFirst() {
		double millis = (now() - this.request.receivedNanos()) / (double) NANOS_PER_MILLI;
		this.gateway.counts().first().add(routeLabel(), millis);
	}

	private void send(Placed placed, EngineWork work) {
		ServerState server = placed.server();
		this.flow.sent();
		FullHttpRequest message = this.dispatch.messageFor(server, remainingMillis());
		this.attempt = new Attempt(this, placed, work);
		BackendSend send = new BackendSend(this.facts.id().orElseThrow(), message, this.attempt);
		this.attempt.begin(send);
		boolean onlyNew = !route().repeatable();
		this.gateway.pool().send(server.entry(), send, onlyNew);
	}

	/**
	 * Judges an answer by its model's opinion, before any of it is handed on.
	 * @param opinion the opinion, from 0 to 100
	 * @return whether the answer was dropped in favour of a larger model's
	 */
	boolean dropFor(int opinion) {
		if (this.flow.answerBegun()) {
			return false;
		}
		OptionalInt larger = this.models.larger(opinion);
		if (larger.isEmpty() || remainingMillis() < MIN_ESCALATE_MILLIS || !this.flow.canSpareSend()
				|| !this.gateway.budget().tryRepeat(service(), now())) {
			return false;
		}
		this.models.take(larger.getAsInt(), opinion);
		return true;
	}

	/**
	 * Sends the request again after an answer was dropped.
	 */
	void sendInstead() {
		this.dispatch.tryAllAgain();
		perform(this.flow.dropped());
	}

	/**
	 * A send ended, and the request was not run by it.
	 * @param why what was seen
	 */
	void notRun(String why) {
		this.reason = why;
		perform(this.flow.notRun(mayRepeat()));
	}

	/**
	 * A send reached no server. Another server is tried instead, which is no repeat.
	 * @param why what was seen
	 */
	void unreached(String why) {
		this.reason = why;
		long sinceReceipt = (now() - this.request.receivedNanos()) / NANOS_PER_MILLI;
		boolean instead = this.flow.mayTryInstead(sinceReceipt) && remainingMillis() >= MIN_SEND_MILLIS
				&& this.dispatch.anotherServer();
		perform(instead ? this.flow.unreached() : this.flow.notRun(mayRepeat()));
	}

	/**
	 * A send ended without a whole answer.
	 * @param why what was seen
	 */
	void broken(String why) {
		this.reason = why;
		perform(this.flow.broken(route().repeatable() && !this.suspicion.enough() && mayRepeat()));
	}

	/**
	 * Returns whether a server that is silent may be left for another.
	 * @return whether the request may be sent again
	 */
	boolean mayLeaveSilent() {
		return route().repeatable() && this.flow.sendsLeft() && remainingMillis() >= MIN_SEND_MILLIS
				&& this.gateway.budget().hasRoom(service(), now()) && this.dispatch.anotherServer();
	}

	/**
	 * Runs work later, unless the client's connection is gone by then.
	 * @param work the work
	 * @param delayMillis when, in milliseconds from now
	 */
	void schedule(Runnable work, long delayMillis) {
		this.client.schedule(work, delayMillis);
	}

	/**
	 * A send ended with a failure that its server signed.
	 * @param kept the failure
	 */
	void failed(KeptFailure kept) {
		dropFailure();
		this.reason = "server " + this.attempt.serverId() + " answered " + kept.status();
		this.failure = kept;
		perform(this.flow.failed(route().repeatable() && mayRepeat()));
	}

	private boolean mayRepeat() {
		if (!this.flow.sendsLeft() || remainingMillis() < MIN_SEND_MILLIS) {
			return false;
		}
		boolean allowed = this.gateway.budget().tryRepeat(service(), now());
		if (!allowed) {
			this.reason += ", budget of repeats used up";
		}
		return allowed;
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
		this.suspicion.harmless();
		noteFirst();
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
			this.models.began();
			noteFirst();
			this.client.answerHead(status, ConnectionHeaders.without(headers));
		}
		lastId.ifPresent(this.dispatch::handedOn);
		this.dispatch.sessionGoesOn(this.attempt.server());
		if (this.attempt.wellUnderWay()) {
			this.suspicion.harmless();
		}
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
		this.suspicion.harmless();
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
			case REFUSE -> finishOwn(OwnAnswer.notRun("not run", this.comeBackMillis));
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
		Next next = this.flow.timedOut();
		if (next == Next.CUT) {
			this.reason = "time over";
		}
		perform(next);
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
		String server = (this.attempt != null) ? this.attempt.serverLabel() : "none";
		if (this.attempt != null) {
			this.attempt.cancel();
			this.dispatch.sessionGoesOn(this.attempt.server());
		}
		dropFailure();
		this.request.release();
		Ran ran = (this.flow != null) ? this.flow.ran() : Ran.NO;
		int sends = (this.flow != null) ? this.flow.attempts() : 0;
		long millis = (now() - this.request.receivedNanos()) / NANOS_PER_MILLI;
		new FinalLine(id(), accountLabel(), routeLabel()).write(this.gateway.counts(),
				new FinalLine.End(status, ran, sends, server, millis, outcome, this.reason));
	}

	private String accountLabel() {
		if (this.admission == null) {
			return "none";
		}
		return this.admission.account().map(ClientAccount::name).orElse("none");
	}

	private String routeLabel() {
		return (this.admission != null && route() != null) ? route().name() : "none";
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

	/**
	 * Notes an answer for the judgement of versions.
	 * @param server server that gave it
	 * @param bad whether it was a failure or several times slower than usual
	 */
	private void judged(ServerState server, boolean bad) {
		this.gateway.rollouts().answered(service(), server.entry().version(), route().name(), bad, streaming());
	}

	/**
	 * Returns the judgement of a send by its pace.
	 * @param server server that it goes to
	 * @param work work that it is
	 * @return the judgement, which notes its verdict
	 */
	PaceJudgement paceOf(ServerState server, EngineWork work) {
		return new PaceJudgement(this.gateway.pace(), paceKinds(work), () -> onTrial(server),
				(bad) -> judged(server, bad));
	}

	/**
	 * Returns among which times those of a send count.
	 * @param work work that it is
	 * @return service and model of an engine's answer, else the route
	 */
	PaceJudgement.Kinds paceKinds(EngineWork work) {
		String whole = work.engine() ? service() + '/' + work.model() : route().name();
		return new PaceJudgement.Kinds(whole, route().name() + " beginning", streaming());
	}

	/**
	 * Returns whether a server's version is the one that its service is moved to.
	 * @param server the server
	 * @return whether the version is on trial
	 */
	private boolean onTrial(ServerState server) {
		return server.entry().version().equals(this.gateway.rollouts().target(service()));
	}

	Gateway gateway() {
		return this.gateway;
	}

	String serviceName() {
		return service();
	}

	String routeName() {
		return route().name();
	}

	boolean streaming() {
		return route().streaming();
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
