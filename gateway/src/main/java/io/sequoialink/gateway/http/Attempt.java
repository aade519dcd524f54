package io.sequoialink.gateway.http;

import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.place.EngineWork;
import io.sequoialink.gateway.place.Placed;
import io.sequoialink.gateway.place.ServerNotices;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.place.ServerWord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One send of a request to one backend server: judges the answer and tells the exchange.
 * Confined to the event loop; tells the exchange one end at most.
 */
final class Attempt implements BackendListener {

	private static final Logger logger = LoggerFactory.getLogger(Attempt.class);

	/** Most bytes of an answer that is handed on as a whole. */
	private static final int MAX_WHOLE_BYTES = 8 << 20;

	private static final int MISDIRECTED = 421;

	private static final int UNAVAILABLE = 503;

	/** Events after which a stream's request is not what would crash its server. */
	private static final int MIN_HARMLESS_EVENTS = 5;

	private enum Verdict {

		NONE, NOT_RUN, FAILURE, SUCCESS

	}

	private final Exchange exchange;

	private final ServerState server;

	private final EngineWork work;

	private final double workMillis;

	private final long begun;

	private boolean answering;

	private boolean alone;

	private double expectedMillis;

	private final PaceJudgement pace;

	private long headAt;

	private BackendSend send;

	private Verdict verdict = Verdict.NONE;

	private int status;

	private HttpHeaders headers;

	private CompositeByteBuf whole;

	private EventSplitter events;

	private boolean over;

	private int heldBytes;

	Attempt(Exchange exchange, Placed placed, EngineWork work) {
		this.exchange = exchange;
		this.server = placed.server();
		this.workMillis = placed.workMillis();
		this.work = work;
		this.begun = exchange.now();
		this.pace = exchange.paceOf(this.server, work);
	}

	void begin(BackendSend sending) {
		this.send = sending;
		this.alone = this.server.pendingMillis() == 0;
		this.expectedMillis = this.server.pendingMillis() + this.workMillis;
		this.server.sent(this.workMillis);
		notices().sent(this.server.entry());
		this.exchange.schedule(this::checkSilence, patience(this.expectedMillis));
		this.pace.slowWithoutHeadMillis().ifPresent((millis) -> this.exchange.schedule(this::checkBeginning, millis));
	}

	// Only a server that is heard of is slow; others may be dead or cut off.
	private void checkBeginning() {
		if (!this.answering) {
			this.server.onceHeardSince(this.begun, this.exchange.now(), this.pace::slow);
		}
	}

	private void checkEvents() {
		if (this.over || this.pace.judged()) {
			return;
		}
		if (this.pace.tooFewEvents(millisSince(this.headAt))) {
			this.server.onceHeardSince(this.headAt + 1, this.exchange.now(), this.pace::slow);
			return;
		}
		this.exchange.schedule(this::checkEvents, PaceJudgement.NEXT_LOOK_MILLIS);
	}

	ServerState server() {
		return this.server;
	}

	String serverId() {
		return this.server.entry().id();
	}

	/**
	 * Names the server with its version and the model, for the log.
	 * @return the label
	 */
	String serverLabel() {
		String model = this.work.engine() ? "/" + this.work.model() : "";
		return serverId() + '/' + this.server.entry().version() + model;
	}

	void read(boolean wanted) {
		this.send.read(wanted);
	}

	private long patience(double expectedMillis) {
		long remaining = this.exchange.remainingMillis();
		if (this.exchange.streaming()) {
			return Patience.stream(expectedMillis, remaining);
		}
		return Patience.plain(this.exchange.gateway().pace().usual(this.exchange.paceKinds(this.work).whole()),
				remaining);
	}

	// A server that sends nothing at all while others are waited for is avoided; work
	// that
	// may be repeated is sent elsewhere.
	private void checkSilence() {
		if (this.over || this.answering || this.server.heardSince(this.begun)) {
			return;
		}
		this.server.silent(this.exchange.now());
		logger.info(GatewayEvents.SERVER_AVOIDED, serverId(), "silence");
		if (this.exchange.mayLeaveSilent()) {
			breakOff("silent");
		}
	}

	@Override
	public boolean mayWrite() {
		return this.exchange.gateway().servers().allowsStill(this.server, this.begun);
	}

	@Override
	public void written() {
		// the answer's deadline runs from the request's receipt, not from here
	}

	@Override
	public void overheard(int answered, AnswerFacts facts) {
		takeWord(answered, facts);
	}

	@Override
	public void head(int answered, HttpHeaders answerHeaders, AnswerFacts facts) {
		this.status = answered;
		this.headers = answerHeaders;
		this.headAt = this.exchange.now();
		this.server.heard(this.headAt);
		noteBegun();
		takeWord(answered, facts);
		facts.load().ifPresent((load) -> this.server.report(load.running(), load.waiting(), this.exchange.now()));
		this.verdict = judge(answered, answerHeaders, facts);
		if (this.verdict == Verdict.NONE) {
			breakOff("answer without signature, status " + answered);
			return;
		}
		if (this.verdict == Verdict.SUCCESS && this.exchange.streaming()) {
			beginStream(facts);
		}
		else {
			this.whole = Unpooled.compositeBuffer(1024);
		}
	}

	// The server that is named in a refusal of status 421 is not the one that gave it.
	private void takeWord(int answered, AnswerFacts facts) {
		if (answered == MISDIRECTED) {
			return;
		}
		boolean asksToSpare = answered == UNAVAILABLE;
		notices().heard(this.server.entry(), new ServerWord(facts.word().leaving(),
				asksToSpare ? facts.word().spareMillis() : OptionalLong.empty()));
		if (!asksToSpare) {
			notices().begun(this.server.entry());
		}
	}

	private ServerNotices notices() {
		return this.exchange.gateway().servers().notices();
	}

	private void beginStream(AnswerFacts facts) {
		this.events = new EventSplitter();
		this.pace.head(millisSince(this.begun));
		this.exchange.schedule(this::checkEvents, PaceJudgement.FIRST_LOOK_MILLIS);
		learnFromHead(facts);
		if (facts.confidence().isPresent() && this.exchange.dropFor(facts.confidence().getAsInt())) {
			cancel();
			this.exchange.sendInstead();
		}
	}

	private void learnFromHead(AnswerFacts facts) {
		if (!this.work.engine()) {
			return;
		}
		boolean quiet = this.alone && facts.load().map((load) -> load.waiting() == 0).orElse(true);
		if (quiet && !this.server.holds(this.work.sharedPart(), Long.MIN_VALUE / 2)) {
			this.exchange.gateway()
				.speed()
				.observe(this.work.model(), this.work.sharedTokens() + this.work.ownTokens(), millisSince(this.begun));
		}
		if (this.work.sharedPart() != 0) {
			this.server.hasRead(this.work.sharedPart(), this.headAt);
		}
	}

	private void noteBegun() {
		if (!this.answering) {
			this.answering = true;
			this.server.begun(this.workMillis);
		}
	}

	private double millisSince(long nanos) {
		return (this.exchange.now() - nanos) / 1_000_000.0;
	}

	private static Verdict judge(int answered, HttpHeaders answerHeaders, AnswerFacts facts) {
		if (facts.notExecuted() || answered == MISDIRECTED) {
			return Verdict.NOT_RUN;
		}
		if (!facts.sealed() || answerHeaders.contains(HttpHeaderNames.CONTENT_ENCODING)) {
			return Verdict.NONE;
		}
		return (answered >= 200 && answered < 300) ? Verdict.SUCCESS : Verdict.FAILURE;
	}

	@Override
	public void data(ByteBuf data) {
		if (this.over) {
			data.release();
			return;
		}
		if (this.events == null) {
			hold(data);
			return;
		}
		this.server.heard(this.exchange.now());
		ByteBuf ready = this.events.take(data);
		this.pace.events(this.events.events(), millisSince(this.headAt));
		if (this.events.overflown()) {
			ready.release();
			breakOff("event too long, or none in many bytes");
			return;
		}
		if (ready.isReadable()) {
			this.exchange.passEvents(this.status, this.headers, ready, this.events.lastId());
		}
	}

	private void hold(ByteBuf data) {
		int bytes = data.readableBytes();
		this.whole.addComponent(true, data);
		this.heldBytes += bytes;
		boolean room = this.exchange.gateway().heldAnswers().take(bytes);
		if (!room || this.heldBytes > MAX_WHOLE_BYTES) {
			breakOff("answer too long, " + this.heldBytes + " bytes");
		}
	}

	@Override
	public void ended() {
		if (this.over) {
			return;
		}
		if (this.events != null && this.events.unfinished()) {
			breakOff("stream ended within an event");
			return;
		}
		finish();
		switch (this.verdict) {
			case NOT_RUN -> {
				this.whole.release();
				note("not run, status " + this.status);
				this.exchange.notRun("server " + serverId() + " did not run it, status " + this.status);
			}
			case FAILURE -> {
				note("failed with status " + this.status);
				this.pace.failed();
				this.exchange.failed(new KeptFailure(this.status, this.headers, this.whole));
			}
			case SUCCESS -> succeed();
			case NONE -> this.exchange.broken("answer without a head");
		}
	}

	private void succeed() {
		count("answered");
		this.server.succeeded();
		judgeEnd();
		if (this.events == null) {
			this.exchange.passWhole(this.status, this.headers, this.whole);
			return;
		}
		this.exchange.passEnd();
	}

	private void judgeEnd() {
		if (this.events == null) {
			this.pace.ended(millisSince(this.begun));
		}
		else {
			this.pace.streamEnded(this.events.events(), millisSince(this.headAt));
		}
	}

	@Override
	public void lost(SendLoss loss) {
		if (this.over) {
			return;
		}
		boolean statedNotRun = this.verdict == Verdict.NOT_RUN;
		finish();
		dropBuffers();
		note(loss.toString());
		if (loss == SendLoss.WITHHELD) {
			this.exchange.unreached("server " + serverId() + " leaves or is spared since");
			return;
		}
		markFailed(loss.toString());
		if (loss == SendLoss.DISCONNECTED && this.verdict != Verdict.NOT_RUN && !wellUnderWay()) {
			this.exchange.disconnected(this.server, this.begun);
		}
		if (loss == SendLoss.NOT_CONNECTED) {
			this.exchange.unreached("server " + serverId() + ": " + loss);
		}
		else if (statedNotRun) {
			this.exchange.notRun("server " + serverId() + ": " + loss);
		}
		else {
			this.exchange.broken("server " + serverId() + ": " + loss);
		}
	}

	/**
	 * Returns whether the server has shown that the request itself does not crash it.
	 * @return whether a stream has gone beyond its beginning
	 */
	boolean wellUnderWay() {
		return this.events != null && this.events.events() >= MIN_HARMLESS_EVENTS;
	}

	private void breakOff(String why) {
		finish();
		dropBuffers();
		note(why);
		markFailed(why);
		this.send.cancel();
		this.exchange.broken("server " + serverId() + ": " + why);
	}

	private void markFailed(String why) {
		if (this.server.failed(this.exchange.now())) {
			logger.info(GatewayEvents.SERVER_AVOIDED, serverId(), why);
		}
	}

	private void count(String outcome) {
		this.exchange.gateway()
			.counts()
			.sends()
			.add(this.exchange.serviceName(), this.server.entry().version(), outcome);
	}

	private String outcome() {
		return switch (this.verdict) {
			case NOT_RUN -> "not run";
			case FAILURE -> "failed";
			case NONE, SUCCESS -> "broken";
		};
	}

	private void note(String how) {
		count(outcome());
		logger.info(GatewayEvents.SEND_ENDED, this.exchange.id(), this.exchange.attempts(), serverId(), how,
				Exchange.millis(this.exchange.now() - this.begun));
	}

	/**
	 * Ends the send without telling the exchange.
	 */
	void cancel() {
		if (this.over) {
			return;
		}
		finish();
		dropBuffers();
		this.send.cancel();
	}

	private void finish() {
		this.over = true;
		this.exchange.gateway().heldAnswers().give(this.heldBytes);
		this.heldBytes = 0;
		noteBegun();
		this.server.ended();
	}

	private void dropBuffers() {
		if (this.whole != null) {
			this.whole.release();
			this.whole = null;
		}
		if (this.events != null) {
			this.events.release();
		}
	}

}
