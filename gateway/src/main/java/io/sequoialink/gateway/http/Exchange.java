package io.sequoialink.gateway.http;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.handler.codec.http.FullHttpRequest;
import io.sequoialink.gateway.fleet.ClientAccount;
import io.sequoialink.gateway.fleet.Route;
import io.sequoialink.gateway.flow.Executed;
import io.sequoialink.gateway.flow.NextStep;
import io.sequoialink.gateway.flow.RequestFlow;
import io.sequoialink.gateway.place.ServerState;

/**
 * Processes one client request from its receipt to its final response, following the
 * decisions of {@link RequestFlow}. Confined to the event loop.
 */
final class Exchange {

	/** Minimum time until the deadline for asking a larger model, in milliseconds. */
	private static final long MIN_ESCALATION_MILLIS = 800;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final GatewayContext gateway;

	private final ClientConnection client;

	private final ClientRequest request;

	private final RequestMetadata metadata;

	private Admission admission;

	private RequestFlow flow;

	private long deadlineNanos;

	private Future<?> deadlineTimer;

	private BackendAttempt attempt;

	private BackendFailure failure;

	private Future<?> startupTimer;

	private boolean started;

	private boolean needsNewConnection;

	private PermitAcquisition permits;

	private AttemptLatencies latencies;

	private ResponseForwarding forwarding;

	private RequestDispatcher dispatcher;

	private ModelChoice modelChoice;

	private String reason = "";

	private CrashingRequestCheck crashCheck;

	private SendCheck check;

	private long retryAfterMillis = LocalResponse.DEFAULT_RETRY_MILLIS;

	Exchange(GatewayContext gateway, ClientConnection client, ClientRequest request) {
		this.gateway = gateway;
		this.client = client;
		this.request = request;
		this.metadata = gateway.headerMapping().readRequest(request.headers());
	}

	/**
	 * Admits the request and sends it to a server, or responds at once. Waits for the
	 * configuration for a moment if the host has only just started.
	 */
	void start() {
		StartupGate gate = this.gateway.startupGate();
		if (gate.isOpen() || !gate.enqueue(this::proceed)) {
			proceed();
			return;
		}
		this.startupTimer = this.client.schedule(this::proceed, StartupGate.MAX_WAIT_MILLIS);
	}

	private void proceed() {
		if (this.started) {
			return;
		}
		this.started = true;
		if (this.startupTimer != null) {
			this.startupTimer.cancel(false);
		}
		this.admission = Admission.of(this.gateway.view().configuration(), this.request, this.metadata);
		if (this.admission.rejection().isPresent()) {
			finishLocally(this.admission.rejection().get());
			return;
		}
		if (this.client.hostStopsBefore(usualMillis())) {
			this.reason = "the host stops";
			finishLocally(LocalResponse.notRun("not run", LocalResponse.STOPPING_RETRY_MILLIS));
			return;
		}
		prepare();
		send();
	}

	// How long a stream takes depends on its length, which is not known before.
	private OptionalDouble usualMillis() {
		return route().streaming() ? OptionalDouble.empty()
				: this.gateway.latencyBaseline().typicalMillis(route().name());
	}

	private void prepare() {
		Route route = route();
		this.flow = new RequestFlow(route.retryable(), route.maxAttempts());
		long allowedMillis = Math.min(this.metadata.deadlineMillis().orElse(route.timeoutMillis()),
				route.timeoutMillis());
		this.deadlineNanos = this.request.receivedNanos() + allowedMillis * NANOS_PER_MILLI;
		this.deadlineTimer = this.client.schedule(this::deadlineExpired, remainingMillis());
		this.gateway.retryBudget().recordRequest(service(), now());
		this.crashCheck = new CrashingRequestCheck(this.gateway, this.request, this.metadata, service());
		this.modelChoice = new ModelChoice(this.gateway, this.admission, this.metadata, this.request.receivedNanos());
		this.dispatcher = new RequestDispatcher(this.gateway, this.request, this.metadata, this.admission,
				this.modelChoice);
		this.latencies = new AttemptLatencies(this.gateway, this.admission);
		this.forwarding = new ResponseForwarding(this, this.client, this.flow, this.crashCheck, this.modelChoice,
				this.dispatcher, this.metadata.lastEvent().isPresent());
		this.permits = new PermitAcquisition(this.gateway, this.admission, this.metadata, this::schedule);
		this.check = new SendCheck(this.gateway, this.admission, id(), this.dispatcher, this.crashCheck, this.permits,
				this.flow, this::remainingMillis);
	}

	private Route route() {
		return this.admission.route();
	}

	/**
	 * Returns the service that runs the request.
	 * @return name of the service
	 */
	String service() {
		return this.admission.service();
	}

	private void send() {
		SendDecision decision = this.check.decide();
		if (decision instanceof SendDecision.Send ready) {
			sendOrAcquirePermit(ready);
		}
		else if (decision instanceof SendDecision.Hold hold) {
			this.check.hold(hold.decision(), this::sendUnlessEnded);
		}
		else if (decision instanceof SendDecision.DecideLater later) {
			schedule(this::sendUnlessEnded, later.millis());
		}
		else if (decision instanceof SendDecision.Reject rejection) {
			this.reason = rejection.reason();
			this.retryAfterMillis = rejection.retryAfterMillis();
			perform(this.flow.noServerAvailable());
		}
	}

	private void sendOrAcquirePermit(SendDecision.Send ready) {
		if (!ready.needsPermit()) {
			send(ready, false);
			return;
		}
		this.permits.acquire(ready.placed(), () -> {
			if (this.flow.done()) {
				return;
			}
			if (this.check.stillPermitted()) {
				send(ready, true);
			}
			else {
				send();
			}
		}, this::sendUnlessEnded);
	}

	private void sendUnlessEnded() {
		if (!this.flow.done()) {
			send();
		}
	}

	/**
	 * Returns what decides whether the request may be sent.
	 * @return the check of this request
	 */
	SendCheck check() {
		return this.check;
	}

	/**
	 * Returns what finds out whether the request crashes servers.
	 * @return the check of this request
	 */
	CrashingRequestCheck crashCheck() {
		return this.crashCheck;
	}

	// Withdraws the request before its server begins a response, which would crash it.
	private void blockedInFlight() {
		if (!this.flow.done() && this.attempt != null) {
			this.reason = this.crashCheck.traits().reason();
			this.retryAfterMillis = this.crashCheck.traits().retryAfterMillis();
			perform(this.attempt.withdraw() ? this.flow.brokeOff(false) : this.flow.notExecuted(false));
		}
	}

	private void send(SendDecision.Send ready, boolean permitted) {
		ServerState server = ready.placed().server();
		this.flow.attemptStarted();
		FullHttpRequest message = this.dispatcher.buildRequest(server, remainingMillis());
		this.attempt = new BackendAttempt(this, ready, permitted);
		this.crashCheck.traits().attemptStarted(this::blockedInFlight);
		OutboundRequest outbound = new OutboundRequest(this.metadata.id().orElseThrow(), message, this.attempt);
		this.attempt.start(outbound);
		boolean onlyNew = !route().retryable() || this.needsNewConnection;
		this.gateway.pool().send(server.entry(), outbound, onlyNew);
	}

	/**
	 * Decides from the model's confidence whether a larger model is asked, before any
	 * part of the response is forwarded. If so, the caller ends the attempt and calls
	 * {@link #sendToLargerModel()}.
	 * @param confidence the confidence, from 0 to 100
	 * @return whether the response was dropped in favour of a larger model
	 */
	boolean tryEscalate(int confidence) {
		if (this.flow.clientHasPart()) {
			return false;
		}
		OptionalInt larger = this.modelChoice.largerModel(confidence);
		if (larger.isEmpty() || !mayReplaceResponse()
				|| !this.gateway.retryBudget().tryAcquireRetry(service(), now())) {
			return false;
		}
		this.modelChoice.escalate(larger.getAsInt(), confidence);
		return this.flow.discarded() == NextStep.SEND;
	}

	// A response in hand is dropped only for an attempt that nothing known prevents.
	private boolean mayReplaceResponse() {
		return this.flow.mayDiscardResponse() && remainingMillis() >= MIN_ESCALATION_MILLIS
				&& !this.crashCheck.blocked() && !this.client.hostStopsBefore(usualMillis())
				&& this.dispatcher.hasServerWithoutLimit();
	}

	/**
	 * Sends the request to the larger model after a response was dropped and its attempt
	 * has ended.
	 */
	void sendToLargerModel() {
		this.dispatcher.clearTried();
		perform(NextStep.SEND);
	}

	/**
	 * An attempt ended and the server did not run the request, so it may be retried even
	 * if requests of its route must not run twice.
	 * @param cause reason for the log
	 */
	void notRun(String cause) {
		this.reason = cause;
		perform(this.flow.notExecuted(tryConsumeRetry()));
	}

	/**
	 * An attempt was not sent, because its server has named a limit or become full since
	 * it was chosen. The server may be chosen again.
	 * @param server the server
	 * @param cause reason for the log
	 */
	void withheld(ServerState server, String cause) {
		this.dispatcher.withheld(server);
		replaceAttempt("server " + server.entry().id() + ' ' + cause, true);
	}

	/**
	 * An attempt failed without reaching a server. If possible another server is tried,
	 * which uses up neither an attempt nor retry budget.
	 * @param cause reason for the log
	 */
	void notConnected(String cause) {
		replaceAttempt(cause, this.dispatcher.hasUntriedServer());
	}

	private void replaceAttempt(String cause, boolean serverLeft) {
		this.reason = cause;
		long sinceReceipt = (now() - this.request.receivedNanos()) / NANOS_PER_MILLI;
		boolean tryAnother = this.flow.mayReplaceAttempt(sinceReceipt) && this.check.timeLeft() && serverLeft;
		if (!tryAnother && this.check.streamWaits()) {
			this.flow.connectFailed();
			schedule(this::sendUnlessEnded, StreamPatience.STEP_MILLIS);
			return;
		}
		perform(tryAnother ? this.flow.connectFailed() : this.flow.notExecuted(tryConsumeRetry()));
	}

	/**
	 * An attempt ended without a complete response.
	 * @param cause reason for the log
	 */
	void incomplete(String cause) {
		this.reason = cause;
		// an answer may have been refused for what came before it on its connection
		this.needsNewConnection = true;
		this.check.brokenOff();
		perform(this.flow.brokeOff(route().retryable() && !this.crashCheck.crashLimitReached()
				&& !this.crashCheck.traits().permanentlyBlocked() && tryConsumeRetry()));
	}

	/**
	 * Returns whether an attempt may be abandoned for another server, because its server
	 * has sent nothing at all since the attempt began.
	 * @return whether the request may be sent again
	 */
	boolean mayAbandonSilentServer() {
		return route().retryable() && this.flow.attemptsLeft() && this.check.timeLeft()
				&& this.gateway.retryBudget().allowsRetry(service(), now()) && this.dispatcher.hasUntriedServer();
	}

	/**
	 * Runs a task later. The task also runs if the client has disconnected by then.
	 * @param work the task
	 * @param delayMillis delay in milliseconds
	 */
	void schedule(Runnable work, long delayMillis) {
		this.client.schedule(work, delayMillis);
	}

	/**
	 * An attempt ended with a signed error response.
	 * @param response the error response
	 */
	void failed(BackendFailure response) {
		releaseFailure();
		this.reason = "server " + this.attempt.serverId() + " answered " + response.status();
		this.failure = response;
		perform(this.flow.failed(route().retryable() && tryConsumeRetry()));
	}

	private boolean tryConsumeRetry() {
		if (!this.flow.attemptsLeft() || !this.check.timeLeft()) {
			return false;
		}
		boolean withinBudget = this.gateway.retryBudget().tryAcquireRetry(service(), now());
		if (!withinBudget) {
			this.reason += ", retry budget exhausted";
		}
		return withinBudget;
	}

	/**
	 * Returns what forwards the response to the client.
	 * @return the forwarding of this request
	 */
	ResponseForwarding forwarding() {
		return this.forwarding;
	}

	/**
	 * The response has been forwarded completely.
	 * @param status status code
	 */
	void answered(int status) {
		finish(status, "answered");
	}

	/**
	 * Pauses or resumes reading from the backend server, so that a slow client does not
	 * fill the memory.
	 * @param writable whether the client's connection accepts more bytes
	 */
	void writabilityChanged(boolean writable) {
		if (this.attempt != null) {
			this.attempt.setReading(writable);
		}
	}

	private void perform(NextStep next) {
		switch (next) {
			case SEND -> send();
			case REJECT -> reject();
			case REPORT_UNKNOWN -> finishLocally(LocalResponse.of(502, "outcome unknown"));
			case REPORT_TIMEOUT -> finishLocally(LocalResponse.of(504, "time over, outcome unknown"));
			case FORWARD_FAILURE -> forwardFailure();
			case CLOSE_CONNECTION -> abortResponse();
			case CANCEL -> finish(0, "client gone");
			case NOTHING -> {
			}
		}
	}

	private void reject() {
		noteEvacuation();
		finishLocally(LocalResponse.notRun("not run", this.retryAfterMillis));
	}

	// How long an evacuation lasts is not known.
	private void noteEvacuation() {
		if (this.gateway.servers().allEvacuated(service())) {
			this.reason += ", all its servers are in evacuated zones";
			this.retryAfterMillis = Math.max(this.retryAfterMillis, LocalResponse
				.withJitter(LocalResponse.DEFAULT_RETRY_MILLIS, ThreadLocalRandom.current().nextDouble()));
		}
	}

	private void forwardFailure() {
		BackendFailure response = this.failure;
		this.failure = null;
		this.client.sendResponse(response.status(), HopByHopHeaders.strip(response.headers()), response.body());
		finish(response.status(), "failed at the server");
	}

	private void abortResponse() {
		this.client.abort();
		finish(0, "cut");
	}

	private void finishLocally(LocalResponse localResponse) {
		this.client.sendLocalResponse(localResponse, this.metadata.id().orElse(null));
		finish(localResponse.status(), localResponse.reason());
	}

	private void deadlineExpired() {
		end("deadline passed");
	}

	/**
	 * The host stops, so the request ends as if its time were over.
	 */
	void hostStops() {
		if (this.flow == null) {
			this.started = true;
			finishLocally(LocalResponse.notRun("not run", LocalResponse.STOPPING_RETRY_MILLIS));
			return;
		}
		this.retryAfterMillis = LocalResponse.STOPPING_RETRY_MILLIS;
		end("the host stops");
	}

	private void end(String cause) {
		if (this.flow.done()) {
			return;
		}
		withdrawUnsent();
		NextStep next = this.flow.timedOut();
		if (next == NextStep.CLOSE_CONNECTION) {
			this.reason = cause;
		}
		perform(next);
	}

	// While a connection is being opened, nothing has reached a server yet.
	private void withdrawUnsent() {
		if (this.attempt != null && this.attempt.cancelUnsent()) {
			this.flow.attemptWithdrawn();
		}
	}

	/**
	 * The client has closed its connection.
	 */
	void clientDisconnected() {
		if (this.flow == null) {
			this.started = true;
			finish(0, "client gone");
			return;
		}
		withdrawUnsent();
		perform(this.flow.clientDisconnected());
	}

	private void finish(int status, String outcome) {
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel(false);
		}
		String server = (this.attempt != null) ? this.attempt.serverLabel() : "none";
		String origin = (this.attempt != null) ? this.attempt.origin() : "";
		if (this.attempt != null) {
			this.attempt.cancel();
			this.dispatcher.refreshSession(this.attempt.server());
		}
		if (this.check != null) {
			this.check.ended();
		}
		releaseFailure();
		this.request.release();
		Executed ran = (this.flow != null) ? this.flow.executed() : Executed.NO;
		int sends = (this.flow != null) ? this.flow.attempts() : 0;
		long millis = (now() - this.request.receivedNanos()) / NANOS_PER_MILLI;
		new AccessLogEntry(id(), accountLabel(), routeLabel()).write(this.gateway.metrics(), new AccessLogEntry.Result(
				status, ran, sends, server, millis, this.client.requests(), outcome, this.reason, origin));
	}

	private String accountLabel() {
		if (this.admission == null) {
			return "none";
		}
		return this.admission.account().map(ClientAccount::name).orElse("none");
	}

	/**
	 * Returns the name of the request's route for log lines and metrics.
	 * @return the name, {@code none} if it has no route
	 */
	String routeLabel() {
		return (this.admission != null && route() != null) ? route().name() : "none";
	}

	private void releaseFailure() {
		if (this.failure != null) {
			this.failure.body().release();
			this.failure = null;
		}
	}

	/**
	 * Returns the time until the deadline.
	 * @return milliseconds, 0 or less if the deadline has passed
	 */
	long remainingMillis() {
		return (this.deadlineNanos - now()) / NANOS_PER_MILLI;
	}

	/**
	 * Returns what compares the attempts' latencies with the usual ones.
	 * @return the latency checks of this request
	 */
	AttemptLatencies latencies() {
		return this.latencies;
	}

	/**
	 * Returns when the request was received.
	 * @return monotonic time in nanoseconds
	 */
	long receivedNanos() {
		return this.request.receivedNanos();
	}

	GatewayContext gateway() {
		return this.gateway;
	}

	String routeName() {
		return route().name();
	}

	int targetLatencyMillis() {
		return route().targetLatencyMillis();
	}

	boolean streaming() {
		return route().streaming();
	}

	String id() {
		return this.metadata.id().orElse("unnamed");
	}

	long now() {
		return this.gateway.clock().getAsLong();
	}

	/**
	 * Returns the parts of the prompt for the log, except the last, which is specific to
	 * the request or its session.
	 * @return identifiers in hexadecimal
	 */
	List<String> promptParts() {
		List<PromptPart> parts = this.metadata.prompt();
		return parts.stream().limit(Math.max(0, parts.size() - 1)).map((part) -> Long.toHexString(part.id())).toList();
	}

	int attempts() {
		return this.flow.attempts();
	}

}
