package io.sequoialink.decision.limits;

import java.util.concurrent.TimeUnit;

/**
 * The limit that one incarnation (process) of a backend server named last, as far as this
 * host or a peer knows. Immutable.
 *
 * <p>
 * Invariant: {@link #merge(LimitObservation)} is commutative, associative and idempotent,
 * so that observations may arrive in any order, late and more than once.
 *
 * @param perSecond requests per second from all hosts together; {@link #UNLIMITED} if the
 * server has ceased to name a limit
 * @param atNanos monotonic time at which the response that named the limit arrived, or at
 * which the request was sent whose response named none, in nanoseconds
 */
public record LimitObservation(double perSecond, long atNanos) {

	/** The server takes any number of requests. */
	public static final double UNLIMITED = Double.POSITIVE_INFINITY;

	/**
	 * An observation without a limit replaces one with a limit only if it is younger by
	 * at least this, in nanoseconds. Its age is known less exactly after its way to other
	 * hosts, and too many requests harm the server more than too few.
	 */
	static final long MIN_LEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/**
	 * Returns whether the server is limited.
	 * @return whether a limit is in force
	 */
	public boolean limited() {
		return this.perSecond != UNLIMITED;
	}

	/**
	 * Combines two observations of the same server.
	 * @param other the other observation
	 * @return the younger one; of two of the same time, the lower limit
	 */
	public LimitObservation merge(LimitObservation other) {
		long lead = rank() - other.rank();
		if (lead == 0) {
			return (this.perSecond <= other.perSecond) ? this : other;
		}
		return (lead > 0) ? this : other;
	}

	private long rank() {
		return limited() ? this.atNanos + MIN_LEAD_NANOS : this.atNanos;
	}

}
