package io.sequoialink.gateway.http;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.sequoialink.decision.crash.Involvement;
import io.sequoialink.gateway.place.PromptSize;
import io.sequoialink.gateway.place.SelectedServer;
import io.sequoialink.gateway.place.ServerState;

/**
 * One transmission of a request to one backend server, with the processing of the
 * response. Determines whether the server ran the request and succeeded, and notifies the
 * {@link Exchange} of the request at most once of the attempt's end. Confined to the
 * event loop.
 */
final class BackendAttempt implements ResponseListener, AttemptWatch.Watched {

	/** Maximum size of a response that is buffered until it is complete. */
	private static final int MAX_BUFFERED_BYTES = 8 << 20;

	/**
	 * Number of events after which the request counts as unable to crash its server.
	 */
	private static final int MIN_HARMLESS_EVENTS = 5;

	/**
	 * Number of events after which a response counts as begun: a server that crashes when
	 * it begins one may still send a part of the first event.
	 */
	private static final int MIN_BEGUN_EVENTS = 2;

	/**
	 * Longest signature that is logged whole, in characters: a server may send any text.
	 */
	private static final int MAX_LOGGED_SEAL = 64;

	private final Exchange exchange;

	private final ServerState server;

	private final PromptSize work;

	private final double workMillis;

	private final long startedAt;

	private final boolean permitted;

	private final long chosenNanos;

	private Optional<SendCheck.Withheld> withheld = Optional.empty();

	private boolean responseStarted;

	private ResponseProgress progress = ResponseProgress.NOTHING;

	private boolean serverWasIdle;

	private boolean queueWasEmpty;

	private final LatencyCheck latency;

	private final AttemptWatch watch;

	private final ServerNotices notices;

	private final AttemptLog log;

	private final AttemptMemory memory;

	private long headAt;

	private OutboundRequest outbound;

	private ResponseVerdict verdict = ResponseVerdict.NONE;

	private int status;

	private HttpHeaders headers;

	private String seal = "";

	private BufferedBody body;

	private EventStreamSplitter events;

	private Optional<StreamContinuation> continuation = Optional.empty();

	private boolean done;

	private int partialEventBytes;

	BackendAttempt(Exchange exchange, SendDecision.Send ready, boolean permitted) {
		SelectedServer placed = ready.placed();
		this.permitted = permitted;
		this.chosenNanos = ready.chosenNanos();
		this.exchange = exchange;
		this.server = placed.server();
		this.workMillis = placed.prefillMillis();
		this.work = ready.work();
		this.startedAt = exchange.now();
		this.notices = new ServerNotices(exchange.gateway(), this.server, exchange.id());
		this.log = new AttemptLog(exchange, this.server, this.startedAt);
		this.memory = new AttemptMemory(exchange.gateway(), placed, this.startedAt);
		this.latency = exchange.latencies().check(this.server, this.work);
		this.watch = new AttemptWatch(exchange, this.server, this.latency, this.startedAt, this);
	}

	void start(OutboundRequest request) {
		this.outbound = request;
		this.serverWasIdle = this.server.pendingMillis() == 0;
		double expectedMillis = this.server.pendingMillis() + this.workMillis;
		this.server.attemptStarted(this.workMillis);
		this.memory.started();
		this.notices.sent();
		this.watch.attemptStarted(expectedMillis, this.work);
	}

	ServerState server() {
		return this.server;
	}

	String serverId() {
		return this.server.entry().id();
	}

	/**
	 * Returns text that identifies the server in log lines.
	 * @return the server's identifier with its version and model
	 */
	String serverLabel() {
		String model = this.work.inference() ? "/" + this.work.model() : "";
		return serverId() + '/' + this.server.entry().version() + model;
	}

	/**
	 * Returns text that leads from the log to the connection and to the response taken.
	 * @return connection, number of the request on it, and the response's signature;
	 * empty if the request was not written to a connection
	 */
	String origin() {
		String signature = this.seal.isEmpty() ? "" : ", seal " + this.seal;
		return this.outbound.carrier().map((carrier) -> carrier + signature).orElse("");
	}

	void setReading(boolean reading) {
		this.outbound.setReading(reading);
	}

	@Override
	public boolean awaitsResponse() {
		return !this.done && !this.responseStarted;
	}

	@Override
	public boolean ended() {
		return this.done;
	}

	// A request that may be retried is sent to another server.
	@Override
	public void serverSilent() {
		if (!this.exchange.mayAbandonSilentServer()) {
			return;
		}
		if (cancelUnsent()) {
			logFailedEnd("no connection");
			this.exchange.notConnected("server " + serverId() + ": no connection yet");
			return;
		}
		abort("no response");
	}

	@Override
	public boolean mayWrite() {
		this.withheld = this.exchange.check().withheld(this.server, this.chosenNanos, this.startedAt, this.permitted);
		return this.withheld.isEmpty();
	}

	@Override
	public void written() {
		// nothing to do: the deadline runs from the receipt of the client's request
	}

	@Override
	public void lateHead(int responseStatus, ResponseMetadata metadata) {
		this.notices.record(responseStatus, metadata, ServerNotices.UNKNOWN_TIME);
	}

	@Override
	public void head(int responseStatus, HttpHeaders responseHeaders, ResponseMetadata metadata) {
		this.status = responseStatus;
		this.headers = responseHeaders;
		this.seal = metadata.seal()
			.map((text) -> text.substring(0, Math.min(text.length(), MAX_LOGGED_SEAL)))
			.orElse("");
		this.headAt = this.exchange.now();
		this.progress = ResponseProgress.HEAD;
		this.server.bytesReceived(this.headAt);
		markResponseStarted();
		this.notices.record(responseStatus, metadata, this.startedAt);
		this.notices.recordLoad(responseStatus, metadata, this.exchange.targetLatencyMillis(), this.headAt);
		this.queueWasEmpty = metadata.load().filter((load) -> load.waiting() == 0).isPresent();
		this.verdict = ResponseVerdict.of(responseStatus, responseHeaders, metadata);
		if (this.verdict == ResponseVerdict.NONE) {
			abort("response without signature, status " + responseStatus);
			return;
		}
		if (this.verdict == ResponseVerdict.SUCCESS) {
			this.exchange.latencies()
				.headReceived(this.server, this.work, this.serverWasIdle, metadata.load(), millisSince(this.startedAt));
		}
		if (this.verdict == ResponseVerdict.SUCCESS && this.exchange.streaming()) {
			startStream(metadata);
		}
		else {
			this.body = new BufferedBody(this.exchange.gateway().responseBuffers());
		}
	}

	private void startStream(ResponseMetadata metadata) {
		this.continuation = this.exchange.forwarding().stream().part();
		if (this.continuation.filter((part) -> !part.isSameKind(this.status, this.headers)).isPresent()) {
			abort("response does not go on with the stream, status " + this.status);
			return;
		}
		this.events = new EventStreamSplitter();
		this.latency.headReceived(millisSince(this.startedAt));
		this.watch.streamBegan(this.headAt);
		recordPromptCache(metadata);
		if (metadata.confidence().isPresent() && this.exchange.tryEscalate(metadata.confidence().getAsInt())) {
			this.log.end("dropped for a larger model", origin());
			cancel();
			this.exchange.sendToLargerModel();
		}
	}

	private void recordPromptCache(ResponseMetadata metadata) {
		if (!this.work.inference()) {
			return;
		}
		boolean serverIsIdle = this.serverWasIdle && metadata.load().map((load) -> load.waiting() == 0).orElse(true);
		if (serverIsIdle && !this.server.likelyCached(this.work.prefixHash(), Long.MIN_VALUE / 2)) {
			this.exchange.gateway()
				.prefillSpeed()
				.observe(this.work.model(), this.work.prefixTokens() + this.work.remainingTokens(),
						millisSince(this.startedAt));
		}
		if (this.work.prefixHash() != 0) {
			this.server.prefixProcessed(this.work.prefixHash(), this.headAt);
		}
	}

	private void markResponseStarted() {
		if (!this.responseStarted) {
			this.responseStarted = true;
			this.server.responseStarted(this.workMillis);
		}
	}

	private double millisSince(long nanos) {
		return (this.exchange.now() - nanos) / 1_000_000.0;
	}

	@Override
	public void data(ByteBuf data) {
		if (this.done) {
			data.release();
			return;
		}
		if (this.events == null) {
			buffer(data);
			return;
		}
		this.server.bytesReceived(this.exchange.now());
		ByteBuf ready = this.events.append(data);
		this.latency.eventsReceived(this.events.events(), millisSince(this.headAt));
		if (this.events.events() >= MIN_BEGUN_EVENTS) {
			markBegun();
		}
		boolean withinLimit = reserveForPartialEvent();
		if (this.events.limitExceeded() || !withinLimit) {
			ready.release();
			abort("event exceeds the size or buffer limit, or too many bytes without an event");
			return;
		}
		if (!goesOn()) {
			ready.release();
			abort("response does not go on with the stream, first event " + this.events.firstId().orElse("none"));
			return;
		}
		boolean awaitsFirstEvent = this.continuation.isPresent() && this.events.events() == 0;
		if (awaitsFirstEvent) {
			ready.release();
			return;
		}
		if (ready.isReadable()) {
			this.exchange.forwarding().forwardEvents(this.status, this.headers, ready, this.events.lastId(), this);
		}
	}

	private boolean reserveForPartialEvent() {
		int grown = this.events.partialBytes() - this.partialEventBytes;
		this.partialEventBytes += grown;
		if (grown < 0) {
			this.exchange.gateway().responseBuffers().release(-grown);
			return true;
		}
		return grown == 0 || this.exchange.gateway().responseBuffers().reserve(grown);
	}

	private boolean goesOn() {
		return this.continuation
			.map((part) -> !this.events.textBeforeFirstEvent()
					&& this.events.firstId().map(part::isFollowedBy).orElse(true))
			.orElse(true);
	}

	private void markBegun() {
		if (this.progress != ResponseProgress.BEGUN) {
			this.progress = ResponseProgress.BEGUN;
			this.exchange.crashCheck().traits().responseBegan();
		}
	}

	private void buffer(ByteBuf data) {
		boolean withinLimit = this.body.append(data);
		if (!withinLimit || this.body.bytes() > MAX_BUFFERED_BYTES) {
			abort("response exceeds the buffer limit, " + this.body.bytes() + " bytes");
		}
	}

	@Override
	public void completed() {
		if (this.done) {
			return;
		}
		if (this.events != null && endsWithConnection() && (this.events.hasPartialEvent() || withoutEvents())) {
			failed(AttemptFailure.DISCONNECTED);
			return;
		}
		if (this.events != null && this.events.hasPartialEvent()) {
			abort("stream ended inside an event");
			return;
		}
		finish();
		switch (this.verdict) {
			case NOT_RUN -> {
				this.body.release();
				logFailedEnd("not run, status " + this.status);
				this.exchange.notRun("server " + serverId() + " did not run the request, status " + this.status);
			}
			case FAILURE -> {
				logFailedEnd("failed with status " + this.status);
				this.latency.markFailed();
				this.exchange.failed(new BackendFailure(this.status, this.headers, this.body.take()));
			}
			case SUCCESS -> succeed();
			case NONE -> this.exchange.incomplete("response without a head");
		}
	}

	// Nothing but the end of the connection ends such a response, so a server that dies
	// ends it as well.
	private boolean endsWithConnection() {
		return !this.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
				&& !this.headers.contains(HttpHeaderNames.CONTENT_LENGTH);
	}

	private boolean withoutEvents() {
		return this.events.events() == 0 && !this.exchange.forwarding().stream().acceptsEmpty();
	}

	private void succeed() {
		markBegun();
		this.log.count("answered");
		this.server.succeeded();
		recordLatency();
		if (this.events == null) {
			this.exchange.forwarding().forwardResponse(this.status, this.headers, this.body.take());
			return;
		}
		this.exchange.forwarding().endStream(this.status, this.headers);
	}

	private void recordLatency() {
		if (this.queueWasEmpty || this.events != null) {
			this.exchange.gateway()
				.admission()
				.worked(this.server, millisSince((this.events != null) ? this.headAt : this.startedAt));
		}
		if (this.events == null) {
			this.latency.responseEnded(millisSince(this.startedAt));
		}
		else {
			this.latency.streamEnded(this.events.events(), millisSince(this.headAt));
			this.memory.completed(this.exchange.routeName(), this.events.events(), millisSince(this.startedAt));
		}
	}

	@Override
	public void failed(AttemptFailure failure) {
		if (this.done) {
			return;
		}
		boolean statedNotRun = this.verdict == ResponseVerdict.NOT_RUN;
		finish();
		dropBuffers();
		logFailedEnd(describe(failure));
		if (failure == AttemptFailure.NOT_SENT
				&& this.withheld.filter((why) -> why != SendCheck.Withheld.UNUSABLE).isPresent()) {
			this.exchange.withheld(this.server, (this.withheld.get() == SendCheck.Withheld.FULL)
					? "has just become full" : "takes a limited number of requests");
			return;
		}
		if (failure == AttemptFailure.NOT_SENT) {
			this.exchange.notConnected(
					"server " + serverId() + " announced its shutdown, asked for a back-off, or its zone is evacuated");
			return;
		}
		if (failure == AttemptFailure.HOST_LOST) {
			this.exchange.incomplete("server " + serverId() + ": " + failure);
			return;
		}
		this.log.failure(failure.toString());
		if (failure == AttemptFailure.DISCONNECTED) {
			this.log.lostResponse((this.events != null) ? this.events.events() : 0,
					(this.headers != null) ? String.valueOf((long) millisSince(this.headAt)) : "no");
		}
		if (failure == AttemptFailure.DISCONNECTED && this.verdict != ResponseVerdict.NOT_RUN && !provenHarmless()) {
			this.exchange.crashCheck().checkForCrash(this.server, this.startedAt, this.progress);
		}
		if (failure == AttemptFailure.NOT_CONNECTED) {
			this.exchange.notConnected("server " + serverId() + ": " + failure);
		}
		else if (statedNotRun) {
			this.exchange.notRun("server " + serverId() + ": " + failure);
		}
		else {
			this.exchange.incomplete("server " + serverId() + ": " + failure);
		}
	}

	private String describe(AttemptFailure failure) {
		String detail = this.outbound.failureDetail();
		return detail.isEmpty() ? failure.toString() : failure + " (" + detail + ")";
	}

	/**
	 * Returns whether the server has streamed enough events to show that the request does
	 * not crash it.
	 * @return whether at least MIN_HARMLESS_EVENTS events have arrived
	 */
	boolean provenHarmless() {
		return this.events != null && this.events.events() >= MIN_HARMLESS_EVENTS;
	}

	private void abort(String reason) {
		finish();
		dropBuffers();
		logFailedEnd(reason);
		this.log.failure(reason);
		abandon();
		this.exchange.incomplete("server " + serverId() + ": " + reason);
	}

	private void logFailedEnd(String detail) {
		this.log.failedEnd(this.verdict.outcome(), detail, origin());
	}

	/**
	 * Aborts the attempt without notifying the exchange, because the request is blocked.
	 * @return whether the request may have reached its server
	 */
	boolean withdraw() {
		boolean sent = this.outbound.handedOver();
		this.log.end("withdrawn", origin());
		cancel();
		return sent;
	}

	/**
	 * Aborts the attempt without notifying the exchange.
	 */
	void cancel() {
		if (this.done) {
			return;
		}
		finish();
		dropBuffers();
		abandon();
	}

	/**
	 * Aborts the attempt without notifying the exchange if nothing has been sent.
	 * @return whether it was aborted, so that the request never reaches the server
	 */
	boolean cancelUnsent() {
		if (this.done || this.outbound.handedOver()) {
			return false;
		}
		cancel();
		return true;
	}

	private void abandon() {
		if (this.outbound.handedOver() && this.progress != ResponseProgress.BEGUN) {
			this.exchange.crashCheck()
				.traits()
				.abandoned(this.server, new Involvement(this.startedAt, this.progress == ResponseProgress.HEAD));
		}
		this.outbound.cancel();
	}

	private void finish() {
		this.done = true;
		this.exchange.crashCheck().traits().attemptEnded();
		this.exchange.gateway().responseBuffers().release(this.partialEventBytes);
		this.partialEventBytes = 0;
		markResponseStarted();
		this.server.attemptEnded();
		this.memory.ended();
		this.exchange.gateway().permits().ended(this.server.incarnation());
	}

	private void dropBuffers() {
		if (this.body != null) {
			this.body.release();
			this.body = null;
		}
		if (this.events != null) {
			this.events.release();
		}
	}

}
