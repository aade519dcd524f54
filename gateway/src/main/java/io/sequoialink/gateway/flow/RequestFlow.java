package io.sequoialink.gateway.flow;

/**
 * Decides about repeats and the final answer of one request. Not safe for threads; the
 * owner calls it from one event loop.
 *
 * <p>
 * Invariants: a request that may not be repeated is never sent again unless every earlier
 * send was stated as not run; {@link Next#REFUSE} is returned only while {@link #ran()}
 * is {@link Ran#NO}; no request reaches more servers than allowed, and at most
 * {@link #MAX_UNREACHED} sends that reach none are made besides; after a final step every
 * input returns {@link Next#NOTHING}.
 */
public final class RequestFlow {

	/**
	 * Sends that reach no server and do not count, so that a request does not try all
	 * servers of a fleet that is down.
	 */
	static final int MAX_UNREACHED = 6;

	/**
	 * Time after a request's receipt in which such sends are made for one that has not
	 * run anywhere, in milliseconds: it can be refused, and that early.
	 */
	static final long MAX_LOOKING_MILLIS = 1000;

	private enum Phase {

		WAITING, SENT, ANSWERING, DONE

	}

	private final boolean repeatable;

	private final int maxAttempts;

	private Phase phase = Phase.WAITING;

	private Ran ran = Ran.NO;

	private int attempts;

	private int unreached;

	private boolean answerBegun;

	private boolean failureKept;

	/**
	 * Creates the flow of a request that has been received whole.
	 * @param repeatable whether it may run more than once
	 * @param maxAttempts most backend servers to which it may be sent, 1 or more
	 */
	public RequestFlow(boolean repeatable, int maxAttempts) {
		this.repeatable = repeatable;
		this.maxAttempts = Math.max(1, maxAttempts);
	}

	/**
	 * Notes that the request is sent to a backend server.
	 * @throws IllegalStateException if no send is allowed now
	 */
	public void sent() {
		if (this.phase != Phase.WAITING || !sendsLeft() || (!this.repeatable && this.ran != Ran.NO)) {
			throw new IllegalStateException("send in phase " + this.phase + " after " + this.attempts + " attempts");
		}
		this.attempts++;
		this.phase = Phase.SENT;
	}

	/**
	 * The present send reached no server and another one is to be tried instead of it.
	 * Only while {@link #mayTryInstead(long)}.
	 * @return what to do
	 */
	public Next unreached() {
		if (this.phase != Phase.SENT) {
			return Next.NOTHING;
		}
		this.unreached++;
		return again(true);
	}

	/**
	 * Returns whether a send that reached no server may be made up for by another.
	 * @param sinceReceiptMillis time since the request was received, in milliseconds
	 * @return whether such sends are left
	 */
	public boolean mayTryInstead(long sinceReceiptMillis) {
		boolean early = this.ran != Ran.NO || sinceReceiptMillis <= MAX_LOOKING_MILLIS;
		return early && this.unreached < MAX_UNREACHED;
	}

	/**
	 * The present send ended, and the request was not run by it.
	 * @param repeatAllowed whether time and budget allow another send
	 * @return what to do
	 */
	public Next notRun(boolean repeatAllowed) {
		if (this.phase != Phase.SENT) {
			return Next.NOTHING;
		}
		return again(repeatAllowed);
	}

	/**
	 * The present send ended without a complete answer after the request left this host.
	 * @param repeatAllowed whether time and budget allow another send
	 * @return what to do
	 */
	public Next broken(boolean repeatAllowed) {
		if (this.phase != Phase.SENT && this.phase != Phase.ANSWERING) {
			return Next.NOTHING;
		}
		if (this.ran == Ran.NO) {
			this.ran = Ran.UNKNOWN;
		}
		return again(repeatAllowed && this.repeatable);
	}

	/**
	 * The present send ended with a failure that the backend server signed.
	 * @param repeatAllowed whether time and budget allow another send
	 * @return what to do
	 */
	public Next failed(boolean repeatAllowed) {
		if (this.phase != Phase.SENT) {
			return Next.NOTHING;
		}
		this.ran = Ran.YES;
		this.failureKept = true;
		return again(repeatAllowed && this.repeatable);
	}

	/**
	 * The present answer is dropped before the client has received any of it, in favour
	 * of an answer of another model.
	 * @return what to do: to send again, or nothing if no send is left
	 */
	public Next dropped() {
		if (this.phase != Phase.SENT || this.answerBegun || !this.repeatable || !sendsLeft()) {
			return Next.NOTHING;
		}
		this.ran = Ran.YES;
		this.phase = Phase.WAITING;
		return Next.SEND;
	}

	private Next again(boolean allowed) {
		if (allowed && sendsLeft()) {
			this.phase = Phase.WAITING;
			return Next.SEND;
		}
		return conclude(Next.REPORT_UNKNOWN);
	}

	private Next conclude(Next ifUnknown) {
		this.phase = Phase.DONE;
		if (this.answerBegun) {
			return Next.CUT;
		}
		if (this.ran == Ran.NO) {
			return Next.REFUSE;
		}
		return this.failureKept ? Next.PASS_FAILURE : ifUnknown;
	}

	/**
	 * A successful answer begins to be handed on.
	 */
	public void answering() {
		if (this.phase == Phase.SENT) {
			this.ran = Ran.YES;
			this.answerBegun = true;
			this.phase = Phase.ANSWERING;
		}
	}

	/**
	 * The answer was handed on whole.
	 */
	public void answered() {
		this.ran = Ran.YES;
		this.phase = Phase.DONE;
	}

	/**
	 * No backend server can take the request.
	 * @return what to do
	 */
	public Next noRoom() {
		return (this.phase == Phase.WAITING) ? conclude(Next.REPORT_UNKNOWN) : Next.NOTHING;
	}

	/**
	 * The time for the request is over.
	 * @return what to do
	 */
	public Next timedOut() {
		if (this.phase == Phase.DONE) {
			return Next.NOTHING;
		}
		if (this.phase == Phase.SENT && this.ran == Ran.NO) {
			this.ran = Ran.UNKNOWN;
		}
		return conclude(Next.REPORT_TIMEOUT);
	}

	/**
	 * The client has left.
	 * @return what to do
	 */
	public Next clientGone() {
		if (this.phase == Phase.DONE) {
			return Next.NOTHING;
		}
		if (this.phase == Phase.SENT && this.ran == Ran.NO) {
			this.ran = Ran.UNKNOWN;
		}
		this.phase = Phase.DONE;
		return Next.ABANDON;
	}

	/**
	 * Returns what is known of whether the request ran.
	 * @return whether it ran; a send under way counts as unknown only once it is lost
	 */
	public Ran ran() {
		return this.ran;
	}

	/**
	 * Returns how often the request was sent.
	 * @return number of sends, those that reached no server included
	 */
	public int attempts() {
		return this.attempts;
	}

	/**
	 * Returns whether another send would be within the number allowed.
	 * @return whether sends are left
	 */
	public boolean sendsLeft() {
		return this.attempts - this.unreached < this.maxAttempts;
	}

	/**
	 * Returns whether an answer may be given up for another model's. One send is kept for
	 * a server that breaks off, unless only two are allowed in all.
	 * @return whether a send can be spared
	 */
	public boolean canSpareSend() {
		int left = this.maxAttempts - (this.attempts - this.unreached);
		return left > 1 || (left == 1 && this.maxAttempts == 2);
	}

	/**
	 * Returns whether a part of an answer has been handed on.
	 * @return whether the client has received a part
	 */
	public boolean answerBegun() {
		return this.answerBegun;
	}

	/**
	 * Returns whether the request has ended.
	 * @return whether nothing more is to be done
	 */
	public boolean done() {
		return this.phase == Phase.DONE;
	}

	/**
	 * Returns whether the request waits to be sent.
	 * @return whether no send is under way and none has been concluded
	 */
	public boolean waiting() {
		return this.phase == Phase.WAITING;
	}

}
