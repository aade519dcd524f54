package io.sequoialink.decision.limits;

/**
 * Back-off from one backend server: no requests are sent to the server until the time
 * that it asked for, and afterwards the number of concurrent requests ramps up gradually.
 * Confined to one thread.
 *
 * <p>
 * Invariants: before the requested time, at most {@link #MAX_PROBES} probe requests are
 * allowed, no matter how often the time is extended. The time is never moved to an
 * earlier one. During the ramp-up of {@link #RAMP_UP_NANOS}, the number of requests in
 * flight is at most the number of responses that the server started in that time plus 1.
 */
public final class ServerBackoff {

	/** Maximum number of probe requests before the requested time. */
	static final int MAX_PROBES = 2;

	/**
	 * Time from the start of the back-off to the first probe, in nanoseconds; the second
	 * probe follows after three times as long. Probes find a server that has recovered
	 * earlier than it announced, or that asked for an unreasonably long time.
	 */
	static final long FIRST_PROBE_NANOS = 10_000_000_000L;

	/** Duration of the ramp-up after the back-off, in nanoseconds. */
	static final long RAMP_UP_NANOS = 2_000_000_000L;

	private long startedAtNanos;

	private long endsAtNanos;

	private long rampUpAtNanos;

	private int probes;

	private int answersStarted;

	/**
	 * Starts a back-off.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @param untilNanos monotonic time until which the server asked for no requests
	 * @param jitterNanos additional wait of this host (jitter), so that not all hosts
	 * resume at the same time
	 */
	public ServerBackoff(long nowNanos, long untilNanos, long jitterNanos) {
		this.startedAtNanos = nowNanos;
		this.endsAtNanos = untilNanos;
		this.rampUpAtNanos = untilNanos + jitterNanos;
	}

	/**
	 * Extends the back-off when the server has asked again for no requests.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @param untilNanos monotonic time until which the server asked for no requests; has
	 * no effect if it is not later than the end of the current back-off
	 * @param jitterNanos additional wait of this host (jitter)
	 */
	public void extend(long nowNanos, long untilNanos, long jitterNanos) {
		if (untilNanos - this.endsAtNanos <= 0) {
			return;
		}
		if (nowNanos - this.endsAtNanos >= 0) {
			this.startedAtNanos = nowNanos;
			this.probes = 0;
		}
		this.endsAtNanos = untilNanos;
		this.rampUpAtNanos = untilNanos + jitterNanos;
		this.answersStarted = 0;
	}

	/**
	 * Returns whether a request may be sent to the server now.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @param inFlight number of requests of this host in flight on the server
	 * @return whether back-off and ramp-up are over, or the ramp-up allows the request
	 */
	public boolean allowsRequest(long nowNanos, int inFlight) {
		if (isOver(nowNanos)) {
			return true;
		}
		return nowNanos - this.rampUpAtNanos >= 0 && inFlight <= this.answersStarted;
	}

	/**
	 * Returns whether a probe may be sent to the server now. For the sum over all hosts,
	 * only few hosts may act on it.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @param inFlight number of requests of this host in flight on the server
	 * @return whether the back-off lasts and its next probe is due
	 */
	public boolean allowsProbe(long nowNanos, int inFlight) {
		return nowNanos - this.endsAtNanos < 0 && this.probes < MAX_PROBES && inFlight == 0
				&& nowNanos - this.startedAtNanos >= (this.probes + 1 + this.probes) * FIRST_PROBE_NANOS;
	}

	/**
	 * Records that a request is sent to the server.
	 * @param nowNanos current monotonic time in nanoseconds
	 */
	public void recordSent(long nowNanos) {
		if (nowNanos - this.endsAtNanos < 0) {
			this.probes++;
		}
	}

	/**
	 * Records that a response of the server started, which allows one more request in
	 * flight during the ramp-up; ignored before.
	 * @param nowNanos current monotonic time in nanoseconds
	 */
	public void recordAnswerStarted(long nowNanos) {
		if (nowNanos - this.rampUpAtNanos >= 0) {
			this.answersStarted++;
		}
	}

	/**
	 * Returns whether the server is no longer restricted.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return whether the back-off and the ramp-up after it are over
	 */
	public boolean isOver(long nowNanos) {
		return nowNanos - this.rampUpAtNanos >= RAMP_UP_NANOS;
	}

	/**
	 * Returns the time until the ramp-up starts.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return time in nanoseconds, 0 if the ramp-up has started
	 */
	public long remainingNanos(long nowNanos) {
		return Math.max(0, this.rampUpAtNanos - nowNanos);
	}

}
