package io.sequoialink.gateway.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.limits.PermitIssuer;
import io.sequoialink.decision.limits.PermitSchedule;

/**
 * Spreads the returns of requests that were rejected because the servers of their service
 * take a limited number of requests. Confined to the event loop. Keeps one schedule for
 * each of the last {@link #MAX_SERVICES} services.
 */
public final class ReturnSchedule {

	/**
	 * Longest time that a client is told to wait, in milliseconds; the limit may have
	 * ended by then.
	 */
	static final long MAX_MILLIS = 8000;

	private static final int MAX_SERVICES = 256;

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final RandomGenerator random;

	private final Map<String, PermitSchedule> schedules = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, PermitSchedule> eldest) {
			return size() > MAX_SERVICES;
		}
	};

	/**
	 * Creates a schedule without returns.
	 * @param random source of the random time added to each return
	 */
	public ReturnSchedule(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Returns when a rejected request should return.
	 * @param service name of the service
	 * @param earliestNanos time until the first permit for one of its servers, in
	 * nanoseconds
	 * @param perSecond this host's part of the requests that the servers take a second
	 * @param rank order of the request, 0 for the most urgent ones
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return time from now in milliseconds
	 */
	long retryAfterMillis(String service, long earliestNanos, double perSecond, int rank, long nowNanos) {
		long interval = PermitIssuer.intervalNanos(perSecond, 1);
		PermitSchedule schedule = this.schedules.computeIfAbsent(service,
				(name) -> new PermitSchedule(nowNanos - interval));
		long longest = MAX_MILLIS * NANOS_PER_MILLI;
		long slotNanos = Math.min(longest, schedule.nextNanos(nowNanos, interval) - nowNanos);
		schedule.take(nowNanos, longest, interval);
		long spread = (rank == 0) ? slotNanos / 2 : slotNanos;
		long millis = Math.min(MAX_MILLIS, (earliestNanos + spread) / NANOS_PER_MILLI);
		return LocalResponse.withJitter(millis, this.random.nextDouble());
	}

}
