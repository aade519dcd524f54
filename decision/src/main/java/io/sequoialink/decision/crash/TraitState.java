package io.sequoialink.decision.crash;

/**
 * What the hosts know of a suspected trait. Immutable. Merging takes the newest of each
 * time, so the order in which states arrive does not matter.
 *
 * @param crashes number of crashes in succession
 * @param firstNanos monotonic time of the first crash, {@link #NEVER} if there is none
 * @param suspectedNanos monotonic time of the last crash, {@link #NEVER} if there is none
 * @param clearedNanos monotonic time at which the newest response to a request with the
 * trait had begun, or {@link #NEVER}
 * @param withdrawnNanos monotonic time at which another trait was found to be the
 * culprit, or {@link #NEVER}
 * @param trialNanos monotonic time at which a request with the trait was sent to find out
 * whether it crashes its server, or {@link #NEVER}
 */
public record TraitState(int crashes, long firstNanos, long suspectedNanos, long clearedNanos, long withdrawnNanos,
		long trialNanos) {

	/** Time of an event that has not happened; earlier than all others. */
	public static final long NEVER = Long.MIN_VALUE / 2;

	/** State of a trait of which nothing is known. */
	public static final TraitState UNKNOWN = new TraitState(0, NEVER, NEVER, NEVER, NEVER, NEVER);

	static TraitState suspected(CrashEvidence.Suspicion suspicion) {
		return new TraitState(suspicion.crashes(), suspicion.firstNanos(), suspicion.lastNanos(), NEVER, NEVER, NEVER);
	}

	static TraitState cleared(long atNanos) {
		return new TraitState(0, NEVER, NEVER, atNanos, NEVER, NEVER);
	}

	static TraitState withdrawn(long atNanos) {
		return new TraitState(0, NEVER, NEVER, NEVER, atNanos, NEVER);
	}

	static TraitState trial(long atNanos) {
		return new TraitState(0, NEVER, NEVER, NEVER, NEVER, atNanos);
	}

	/**
	 * Returns whether the trait is suspected.
	 * @return whether neither a response nor a culprit has ended the suspicion
	 */
	public boolean suspected() {
		return this.suspectedNanos != NEVER && this.suspectedNanos > Math.max(this.clearedNanos, this.withdrawnNanos);
	}

	/**
	 * Returns whether a response to a request with the trait has begun since the last
	 * crash.
	 * @return whether the trait is known to be harmless
	 */
	public boolean responded() {
		return this.clearedNanos != NEVER && this.clearedNanos > this.suspectedNanos;
	}

	long newestNanos() {
		return Math.max(Math.max(this.suspectedNanos, this.clearedNanos),
				Math.max(this.withdrawnNanos, this.trialNanos));
	}

	TraitState merge(TraitState other) {
		TraitState newer = (other.suspectedNanos > this.suspectedNanos) ? other : this;
		return new TraitState(newer.crashes, newer.firstNanos, newer.suspectedNanos,
				Math.max(this.clearedNanos, other.clearedNanos), Math.max(this.withdrawnNanos, other.withdrawnNanos),
				Math.max(this.trialNanos, other.trialNanos));
	}

	/**
	 * Returns whether merging this state into another changes it by more than the error
	 * with which times are passed on.
	 * @param known the other state
	 * @param toleranceNanos the error, in nanoseconds
	 * @return whether this state is news
	 */
	boolean addsTo(TraitState known, long toleranceNanos) {
		return this.suspectedNanos - known.suspectedNanos > toleranceNanos
				|| this.clearedNanos - known.clearedNanos > toleranceNanos
				|| this.withdrawnNanos - known.withdrawnNanos > toleranceNanos
				|| this.trialNanos - known.trialNanos > toleranceNanos;
	}

}
