package io.sequoialink.soak;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets servers name limits at random times, beside all faults: mostly one server, at
 * times all of a service. Thread-safe.
 */
final class LimitInjector {

	private static final Logger logger = LoggerFactory.getLogger(LimitInjector.class);

	private static final double[] LIMITS = { 0, 0.5, 1.1, 1.1, 3, 8, 25 };

	private static final int SEED_MASK = 0x11317;

	private final Random random;

	private final BackendServerPool servers;

	private final Set<SimulatedBackendServer> limited = new HashSet<>();

	LimitInjector(long seed, BackendServerPool servers) {
		this.random = new Random(seed ^ SEED_MASK);
		this.servers = servers;
	}

	/**
	 * Makes a random server (in 2 of 10 calls) or all servers of a service (in 1 of 20)
	 * name a limit for some time; otherwise does nothing.
	 */
	void nameRandomLimit() {
		int draw = this.random.nextInt(20);
		int millis = 4500 + this.random.nextInt(6000);
		double perSecond = LIMITS[this.random.nextInt(LIMITS.length)];
		String service = this.random.nextBoolean() ? "app" : "models";
		if (draw < 4) {
			this.servers.pick(this.random).ifPresent((server) -> limit(List.of(server), perSecond, millis));
		}
		else if (draw == 4) {
			limit(this.servers.ofService(service), perSecond, millis);
		}
	}

	private synchronized void limit(List<SimulatedBackendServer> picked, double perSecond, int millis) {
		List<SimulatedBackendServer> chosen = picked.stream().filter(this.limited::add).toList();
		if (chosen.isEmpty()) {
			return;
		}
		logger.info("{} servers take {} requests a second for {} ms", chosen.size(), perSecond, millis);
		chosen.forEach((server) -> server.nameLimit(perSecond));
		DaemonThreads.start("limit", () -> {
			DaemonThreads.sleep(millis);
			chosen.forEach(SimulatedBackendServer::endLimit);
			ended(chosen);
		});
	}

	private synchronized void ended(List<SimulatedBackendServer> chosen) {
		chosen.forEach(this.limited::remove);
	}

	synchronized boolean idle() {
		return this.limited.isEmpty();
	}

}
