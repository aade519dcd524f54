package io.sequoialink.decision.observation;

/**
 * What one incarnation (process) of a backend server announced to this host or a peer:
 * that it is shutting down, or that it asks for no requests for a time (back-off).
 * Immutable.
 *
 * <p>
 * Invariant: {@link #merge(ServerNotice)} is commutative, associative and idempotent, so
 * that notices may arrive in any order, late and more than once.
 *
 * @param shutdownAtNanos monotonic time at which the server announced that it is shutting
 * down, in nanoseconds; {@link #NEVER} if it did not
 * @param backoffUntilNanos monotonic time until which the server asked for a back-off, in
 * nanoseconds; {@link #NEVER} if it did not
 */
public record ServerNotice(long shutdownAtNanos, long backoffUntilNanos) {

	/** Time of an event that has not occurred. */
	public static final long NEVER = Long.MIN_VALUE;

	/** A notice that announces neither a shutdown nor a back-off. */
	public static final ServerNotice EMPTY = new ServerNotice(NEVER, NEVER);

	/**
	 * Combines two notices of the same server.
	 * @param other the other notice
	 * @return a notice with the later of both times for each event
	 */
	public ServerNotice merge(ServerNotice other) {
		return new ServerNotice(Math.max(this.shutdownAtNanos, other.shutdownAtNanos),
				Math.max(this.backoffUntilNanos, other.backoffUntilNanos));
	}

	/**
	 * Returns this notice without the events before a given time.
	 * @param oldestNanos monotonic time; earlier events are left out
	 * @return the notice without them
	 */
	public ServerNotice withoutEventsBefore(long oldestNanos) {
		return new ServerNotice((this.shutdownAtNanos >= oldestNanos) ? this.shutdownAtNanos : NEVER,
				(this.backoffUntilNanos >= oldestNanos) ? this.backoffUntilNanos : NEVER);
	}

	/**
	 * Returns whether this notice announces more than the one that is stored for the
	 * server.
	 * @param known the stored notice
	 * @param toleranceNanos difference up to which back-off times count as the same
	 * @return whether it announces a shutdown that the stored one does not, or a longer
	 * back-off
	 */
	boolean addsTo(ServerNotice known, long toleranceNanos) {
		boolean newShutdown = this.shutdownAtNanos != NEVER && known.shutdownAtNanos == NEVER;
		boolean longerBackoff = this.backoffUntilNanos != NEVER && (known.backoffUntilNanos == NEVER
				|| this.backoffUntilNanos - known.backoffUntilNanos > toleranceNanos);
		return newShutdown || longerBackoff;
	}

	/**
	 * Returns whether this notice announces nothing.
	 * @return whether it contains neither a shutdown nor a back-off
	 */
	public boolean isEmpty() {
		return equals(EMPTY);
	}

}
