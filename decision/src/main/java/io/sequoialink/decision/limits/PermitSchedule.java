package io.sequoialink.decision.limits;

import java.util.OptionalLong;

/**
 * Spaces the permits to send requests to one backend server evenly in time. Confined to
 * one thread.
 *
 * <p>
 * Invariant: two permits are at least an interval apart. Time in which nobody asked is
 * not made up for, so in any period there are at most as many permits as whole intervals
 * fit into it, and one more.
 */
public final class PermitSchedule {

	private long lastNanos;

	/**
	 * Creates a schedule.
	 * @param lastNanos monotonic time of an imagined last permit, in nanoseconds; the
	 * first real one follows an interval later
	 */
	public PermitSchedule(long lastNanos) {
		this.lastNanos = lastNanos;
	}

	/**
	 * Returns the earliest time of the next permit.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @param intervalNanos smallest time between two permits, in nanoseconds
	 * @return monotonic time in nanoseconds, not before now
	 */
	public long nextNanos(long nowNanos, long intervalNanos) {
		return nowNanos + Math.max(0, this.lastNanos + intervalNanos - nowNanos);
	}

	/**
	 * Takes the next permit if its time is near enough.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @param maxWaitNanos longest time until the permit, in nanoseconds
	 * @param intervalNanos smallest time between two permits, in nanoseconds
	 * @return monotonic time from which on the permit is valid, in nanoseconds; empty if
	 * it is too late
	 */
	public OptionalLong take(long nowNanos, long maxWaitNanos, long intervalNanos) {
		long next = nextNanos(nowNanos, intervalNanos);
		if (next - nowNanos > maxWaitNanos) {
			return OptionalLong.empty();
		}
		this.lastNanos = next;
		return OptionalLong.of(next);
	}

}
