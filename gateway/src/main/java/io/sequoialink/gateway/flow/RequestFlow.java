package io.sequoialink.gateway.flow;

/**
 * State machine that decides on retries and on the final response of one request. Not
 * thread-safe; confined to one event loop.
 *
 * <p>
 * Invariants: a request that must not run twice is sent again only if it is known that no
 * earlier attempt executed it; {@link NextStep#REJECT} is returned only while
 * {@link #executed()} is {@link Executed#NO}; no request reaches more servers than
 * allowed, and at most {@link #MAX_CONNECT_FAILURES} further attempts fail to reach one;
 * after the request has ended, every input returns {@link NextStep#NOTHING}. The end of
 * an attempt is never followed by {@link NextStep#NOTHING} while it is in progress, so no
 * request waits for its time limit without an attempt.
 */
public final class RequestFlow {

	/**
	 * Number of attempts that may fail to reach a server without counting as attempts;
	 * limited so that a request does not try all servers of a fleet that is down.
	 */
	static final int MAX_CONNECT_FAILURES = 6;

	/**
	 * Time after its receipt in which a request that has not been executed anywhere may
	 * replace attempts that reached no server, in milliseconds. Such a request can be
	 * rejected safely, and the client should learn it early.
	 */
	static final long CONNECT_RETRY_MILLIS = 1000;

	private enum Phase {

		WAITING, IN_FLIGHT, FORWARDING, DONE

	}

	private final boolean repeatable;

	private final int maxAttempts;

	private Phase phase = Phase.WAITING;

	private Executed ran = Executed.NO;

	private int attempts;

	private int connectFailures;

	private boolean forwardingStarted;

	private boolean failureAvailable;

	/**
	 * Creates the state machine of a request that has been received completely.
	 * @param repeatable whether the request may be executed more than once
	 * @param maxAttempts maximum number of backend servers to which it may be sent, 1 or
	 * more
	 */
	public RequestFlow(boolean repeatable, int maxAttempts) {
		this.repeatable = repeatable;
		this.maxAttempts = Math.max(1, maxAttempts);
	}

	/**
	 * Records that the request is sent to a backend server, which uses up one of the
	 * allowed attempts.
	 * @throws IllegalStateException if no attempt is allowed now
	 */
	public void attemptStarted() {
		if (this.phase != Phase.WAITING || !attemptsLeft() || (!this.repeatable && this.ran != Executed.NO)) {
			throw new IllegalStateException(
					"no attempt is allowed in phase " + this.phase + " after " + this.attempts + " attempts");
		}
		this.attempts++;
		this.phase = Phase.IN_FLIGHT;
	}

	/**
	 * Records that the current attempt reached no server and another one replaces it.
	 * Allowed only if {@link #mayReplaceAttempt(long)}.
	 * @return the next step
	 */
	public NextStep connectFailed() {
		if (this.phase != Phase.IN_FLIGHT) {
			return brokeOff(true);
		}
		this.connectFailures++;
		return retryOrFinish(true);
	}

	/**
	 * Returns whether an attempt that reached no server may be replaced by another.
	 * @param sinceReceiptMillis time since the request was received, in milliseconds
	 * @return whether another replacement is allowed
	 */
	public boolean mayReplaceAttempt(long sinceReceiptMillis) {
		boolean mayStillConnect = this.ran != Executed.NO || sinceReceiptMillis <= CONNECT_RETRY_MILLIS;
		return mayStillConnect && this.connectFailures < MAX_CONNECT_FAILURES;
	}

	/**
	 * Records that the current attempt ended without executing the request.
	 * @param retryAllowed whether the remaining time and the retry budget allow a retry
	 * @return the next step
	 */
	public NextStep notExecuted(boolean retryAllowed) {
		if (this.phase != Phase.IN_FLIGHT) {
			return brokeOff(retryAllowed);
		}
		return retryOrFinish(retryAllowed);
	}

	/**
	 * Records that the current attempt ended without a complete response after the
	 * request was sent.
	 * @param retryAllowed whether the remaining time and the retry budget allow a retry
	 * @return the next step
	 */
	public NextStep brokeOff(boolean retryAllowed) {
		if (this.phase != Phase.IN_FLIGHT && this.phase != Phase.FORWARDING) {
			return NextStep.NOTHING;
		}
		if (this.ran == Executed.NO) {
			this.ran = Executed.UNKNOWN;
		}
		return retryOrFinish(retryAllowed && this.repeatable);
	}

	/**
	 * Records that the current attempt ended with a failure response signed by the
	 * backend server.
	 * @param retryAllowed whether the remaining time and the retry budget allow a retry
	 * @return the next step
	 */
	public NextStep failed(boolean retryAllowed) {
		if (this.phase != Phase.IN_FLIGHT) {
			return brokeOff(retryAllowed);
		}
		this.ran = Executed.YES;
		this.failureAvailable = true;
		return retryOrFinish(retryAllowed && this.repeatable);
	}

	/**
	 * Discards the response of the current attempt in favour of another model's. Possible
	 * only if {@link #mayDiscardResponse()}; otherwise the attempt goes on.
	 * @return the next step: another attempt, or nothing if the response must be kept
	 */
	public NextStep discarded() {
		if (!mayDiscardResponse()) {
			return NextStep.NOTHING;
		}
		this.ran = Executed.YES;
		this.phase = Phase.WAITING;
		return NextStep.SEND;
	}

	private NextStep retryOrFinish(boolean allowed) {
		if (allowed && attemptsLeft()) {
			this.phase = Phase.WAITING;
			return NextStep.SEND;
		}
		return finish(NextStep.REPORT_UNKNOWN);
	}

	private NextStep finish(NextStep ifUnknown) {
		this.phase = Phase.DONE;
		if (this.forwardingStarted) {
			return NextStep.CLOSE_CONNECTION;
		}
		if (this.ran == Executed.NO) {
			return NextStep.REJECT;
		}
		return this.failureAvailable ? NextStep.FORWARD_FAILURE : ifUnknown;
	}

	/**
	 * Records that a successful response starts to be forwarded to the client.
	 */
	public void forwardingStarted() {
		if (this.phase == Phase.IN_FLIGHT) {
			this.ran = Executed.YES;
			this.forwardingStarted = true;
			this.phase = Phase.FORWARDING;
		}
	}

	/**
	 * Records that the response was forwarded completely.
	 */
	public void forwardingCompleted() {
		this.ran = Executed.YES;
		this.phase = Phase.DONE;
	}

	/**
	 * Records that no backend server can take the request.
	 * @return the next step
	 */
	public NextStep noServerAvailable() {
		return (this.phase == Phase.WAITING) ? finish(NextStep.REPORT_UNKNOWN) : NextStep.NOTHING;
	}

	/**
	 * Records that the current attempt was given up before anything of it was sent.
	 */
	public void attemptWithdrawn() {
		if (this.phase == Phase.IN_FLIGHT) {
			this.phase = Phase.WAITING;
		}
	}

	/**
	 * Records that the request's time limit is exceeded.
	 * @return the next step
	 */
	public NextStep timedOut() {
		if (this.phase == Phase.DONE) {
			return NextStep.NOTHING;
		}
		if (this.phase == Phase.IN_FLIGHT && this.ran == Executed.NO) {
			this.ran = Executed.UNKNOWN;
		}
		return finish(NextStep.REPORT_TIMEOUT);
	}

	/**
	 * Records that the client has disconnected.
	 * @return the next step
	 */
	public NextStep clientDisconnected() {
		if (this.phase == Phase.DONE) {
			return NextStep.NOTHING;
		}
		if (this.phase == Phase.IN_FLIGHT && this.ran == Executed.NO) {
			this.ran = Executed.UNKNOWN;
		}
		this.phase = Phase.DONE;
		return NextStep.CANCEL;
	}

	/**
	 * Returns whether the request was executed.
	 * @return whether it was executed; an attempt in progress counts as unknown only once
	 * it is lost
	 */
	public Executed executed() {
		return this.ran;
	}

	/**
	 * Returns the number of attempts.
	 * @return number of attempts, including those that reached no server
	 */
	public int attempts() {
		return this.attempts;
	}

	/**
	 * Returns whether the limit of attempts allows another one.
	 * @return whether attempts are left
	 */
	public boolean attemptsLeft() {
		return this.attempts - this.connectFailures < this.maxAttempts;
	}

	/**
	 * Returns whether the response of the current attempt may be discarded in favour of
	 * another model's: only if the request may run twice and none of the response was
	 * forwarded. One attempt is reserved for the case that a server breaks off, unless
	 * only two are allowed in total.
	 * @return whether an attempt may be used for it
	 */
	public boolean mayDiscardResponse() {
		if (this.phase != Phase.IN_FLIGHT || this.forwardingStarted || !this.repeatable) {
			return false;
		}
		int attemptsLeft = this.maxAttempts - (this.attempts - this.connectFailures);
		return attemptsLeft > 1 || (attemptsLeft == 1 && this.maxAttempts == 2);
	}

	/**
	 * Returns whether part of a response has been forwarded to the client.
	 * @return whether forwarding has started
	 */
	public boolean clientHasPart() {
		return this.forwardingStarted;
	}

	/**
	 * Returns whether the request has ended.
	 * @return whether no further step follows
	 */
	public boolean done() {
		return this.phase == Phase.DONE;
	}

	/**
	 * Returns whether the request waits for its next attempt.
	 * @return whether no attempt is in progress and the request has not ended
	 */
	public boolean waiting() {
		return this.phase == Phase.WAITING;
	}

}
