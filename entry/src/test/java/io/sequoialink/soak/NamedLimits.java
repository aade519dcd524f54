package io.sequoialink.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Limits that servers named in responses, and the check that the hosts that passed on
 * such a response keep to them together. Guarded by the {@link PromiseChecker} that holds
 * it.
 */
final class NamedLimits {

	private final LongSupplier clock;

	private final Map<String, Limit> limits = new HashMap<>();

	NamedLimits(LongSupplier clock) {
		this.clock = clock;
	}

	/**
	 * Records that a server names a limit from now on.
	 * @param server name of the server
	 * @param perSecond requests per second from all hosts together
	 */
	void begin(String server, double perSecond) {
		this.limits.put(server, new Limit(perSecond, this.clock.getAsLong()));
	}

	void end(String server) {
		this.limits.remove(server);
	}

	/**
	 * Records that a host was sent a response that names the limit.
	 * @param server name of the server
	 * @param host name of the host
	 */
	void told(String server, String host) {
		Limit limit = this.limits.get(server);
		if (limit != null) {
			limit.toldNanos.putIfAbsent(host, this.clock.getAsLong());
		}
	}

	/**
	 * Records a request that reaches a server, and checks the limit over all hosts that
	 * were told of it.
	 * @param server name of the server
	 * @param host name of the host that forwarded the request
	 * @param undisturbed tells whether a host has been undisturbed for the whole window,
	 * and long enough before
	 * @return what was exceeded, empty if the limit is kept
	 */
	Optional<String> checkArrival(String server, String host, Predicate<String> undisturbed) {
		Limit limit = this.limits.get(server);
		if (limit == null) {
			return Optional.empty();
		}
		long now = this.clock.getAsLong();
		Long told = limit.toldNanos.get(host);
		if (told != null && now - told >= Bounds.millisToNanos(Bounds.SIGNAL_GRACE_MILLIS)) {
			limit.arrivals.addLast(new Arrival(now, host));
		}
		while (!limit.arrivals.isEmpty()
				&& now - limit.arrivals.peekFirst().nanos() >= Bounds.millisToNanos(Bounds.LIMIT_WINDOW_MILLIS)) {
			limit.arrivals.removeFirst();
		}
		if (now - limit.sinceNanos < Bounds.millisToNanos(Bounds.STABILIZATION_MILLIS)) {
			return Optional.empty();
		}
		long counted = limit.arrivals.stream().filter((arrival) -> undisturbed.test(arrival.host())).count();
		return (counted > limit.allowed()) ? Optional.of(counted + " requests in " + Bounds.LIMIT_WINDOW_MILLIS
				+ " ms reached " + server + ", which takes " + limit.perSecond + " a second") : Optional.empty();
	}

	/**
	 * A request that counts. Immutable.
	 *
	 * @param nanos monotonic time
	 * @param host name of the host that forwarded it
	 */
	private record Arrival(long nanos, String host) {
	}

	/** Limit of one server; times are monotonic. */
	private static final class Limit {

		private final double perSecond;

		private final long sinceNanos;

		private final Map<String, Long> toldNanos = new HashMap<>();

		private final Deque<Arrival> arrivals = new ArrayDeque<>();

		private Limit(double perSecond, long sinceNanos) {
			this.perSecond = perSecond;
			this.sinceNanos = sinceNanos;
		}

		private double allowed() {
			return Bounds.LIMIT_FACTOR * this.perSecond * Bounds.LIMIT_WINDOW_MILLIS / 1000 + Bounds.LIMIT_SLACK;
		}

	}

}
