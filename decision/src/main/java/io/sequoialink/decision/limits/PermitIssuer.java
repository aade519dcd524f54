package io.sequoialink.decision.limits;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Issues permits for the slices of servers' limits that this host owns. A limit is
 * divided into {@link #SLICES} equal slices, each owned by one host. Confined to one
 * thread.
 *
 * <p>
 * Invariants: the permits of a slice are spaced evenly, so the slices of a server
 * together issue at most {@link #SLICES} permits more than its limit in any period. At
 * most {@link #MAX_SCHEDULES} schedules are kept, those used last.
 */
public final class PermitIssuer {

	/**
	 * Number of slices of a limit. A slice that two hosts own for a while, because they
	 * know of different hosts, adds the limit divided by this.
	 */
	public static final int SLICES = 4;

	/**
	 * Lowest rate at which permits for a server are issued, in permits per second. A
	 * server can lift its limit only in a response, also if it takes no requests at all.
	 */
	public static final double MIN_PER_SECOND = 0.1;

	/**
	 * Time for which a host that comes to own a slice of an older limit waits before its
	 * first permit, in nanoseconds. By then the other hosts know of the change and no
	 * longer ask the previous owner.
	 */
	static final long TAKE_OVER_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final int MAX_SCHEDULES = 4096;

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Time from the start of this host within which it counts as a new owner of all its
	 * slices, in nanoseconds.
	 */
	private static final long NEW_HOST_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final RandomGenerator random;

	private final long startedNanos;

	private final Map<Key, PermitSchedule> schedules = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, PermitSchedule> eldest) {
			return size() > MAX_SCHEDULES;
		}
	};

	/**
	 * Creates an issuer without schedules, at the start of this host.
	 * @param random draws the time of the first permit, so that the owners of the slices
	 * do not all issue one at once
	 * @param nowNanos current monotonic time in nanoseconds
	 */
	public PermitIssuer(RandomGenerator random, long nowNanos) {
		this.random = random;
		this.startedNanos = nowNanos;
	}

	/**
	 * Issues the next permit of a slice if its time is near enough.
	 * @param key server and slice
	 * @param limit limit of the server
	 * @param share part of the limit that this host may issue, above 0 and up to 1
	 * @param nowNanos current monotonic time in nanoseconds
	 * @param maxWaitNanos longest time until the permit, in nanoseconds
	 * @return the decision
	 */
	public PermitDecision issue(Key key, Limit limit, double share, long nowNanos, long maxWaitNanos) {
		long interval = intervalNanos(limit.perSecond(), share);
		PermitSchedule schedule = this.schedules.computeIfAbsent(key, (each) -> create(limit, nowNanos, interval));
		OptionalLong taken = schedule.take(nowNanos, maxWaitNanos, interval);
		return new PermitDecision(taken.isPresent(), taken.orElse(nowNanos) - nowNanos,
				schedule.nextNanos(nowNanos, interval) - nowNanos);
	}

	/**
	 * Returns the time between two permits.
	 * @param perSecond limit of the server, in requests per second
	 * @param share part of the limit, above 0 and up to 1
	 * @return the time in nanoseconds
	 */
	public static long intervalNanos(double perSecond, double share) {
		return (long) (NANOS_PER_SECOND / (Math.max(MIN_PER_SECOND, perSecond) * share));
	}

	private PermitSchedule create(Limit limit, long nowNanos, long intervalNanos) {
		boolean newOwner = nowNanos - limit.sinceNanos() > TAKE_OVER_NANOS
				|| nowNanos - this.startedNanos < NEW_HOST_NANOS;
		long phase = this.random.nextLong(intervalNanos);
		return new PermitSchedule(nowNanos - phase + (newOwner ? TAKE_OVER_NANOS : 0));
	}

	/**
	 * Limit of a server. Immutable.
	 *
	 * @param perSecond requests per second from all hosts together
	 * @param sinceNanos monotonic time at which this host learnt that the server is
	 * limited, in nanoseconds
	 */
	public record Limit(double perSecond, long sinceNanos) {
	}

	/**
	 * A slice of a server's limit. Immutable.
	 *
	 * @param server hash of the server's incarnation
	 * @param slice number of the slice, from 0 to {@link #SLICES} - 1; of a share that
	 * this host uses without the slice's owner, -1 less the number
	 */
	public record Key(long server, int slice) {
	}

}
