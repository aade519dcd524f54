package io.sequoialink.gateway.path;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.sequoialink.gateway.relay.Peer;

/**
 * The hosts through which this host reaches servers that it does not reach itself.
 * Confined to the event loop.
 *
 * <p>
 * Each service has a choice of its own: a host that is cut off from one, or has none of
 * its servers left, may well reach the others. What says something of a host itself, as
 * that it does not answer, holds for all services. There is one choice for each service
 * that was ever out of reach.
 */
public final class HelpingHosts {

	private final Peer self;

	private final Supplier<List<Peer>> others;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private final LeftOutHosts leftOut;

	private final Map<String, ServiceHelpers> services = new HashMap<>();

	/**
	 * Creates a choice among hosts that nothing is known of.
	 * @param self this host
	 * @param others returns the other hosts that are known
	 * @param clock monotonic time in nanoseconds
	 * @param random source of randomness
	 */
	public HelpingHosts(Peer self, Supplier<List<Peer>> others, LongSupplier clock, RandomGenerator random) {
		this.self = self;
		this.others = others;
		this.clock = clock;
		this.random = random;
		this.leftOut = new LeftOutHosts("all services", clock);
	}

	/**
	 * Returns whether another host is known at all.
	 * @return false if servers can only be reached directly
	 */
	boolean anyKnown() {
		return !this.others.get().isEmpty();
	}

	/**
	 * Returns the choice for a service.
	 * @param service name of the service
	 * @return the hosts that help to reach its servers
	 */
	ServiceHelpers of(String service) {
		return this.services.computeIfAbsent(service,
				(name) -> new ServiceHelpers(name, this.self, this.others, this.leftOut, this.clock, this.random));
	}

}
