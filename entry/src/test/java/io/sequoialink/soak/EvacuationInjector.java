package io.sequoialink.soak;

import java.util.Random;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Evacuates a zone of servers at random times, for longer than the time within which
 * hosts must apply it. Thread-safe.
 */
final class EvacuationInjector {

	private static final Logger logger = LoggerFactory.getLogger(EvacuationInjector.class);

	private static final int SEED_MASK = 0xE7AC;

	private final Random random;

	private final Operator operator;

	private final PromiseChecker checker;

	private boolean active;

	EvacuationInjector(long seed, Operator operator, PromiseChecker checker) {
		this.random = new Random(seed ^ SEED_MASK);
		this.operator = operator;
		this.checker = checker;
	}

	/**
	 * Evacuates a zone for some time (in 1 of 6 calls, unless one is evacuated);
	 * otherwise does nothing.
	 */
	void evacuateAtRandom() {
		boolean drawn = this.random.nextInt(6) == 0;
		String zone = SimulatedBackendServer.ZONES.get(this.random.nextInt(SimulatedBackendServer.ZONES.size()));
		int millis = Bounds.EVACUATION_MILLIS + 1000 + this.random.nextInt(4000);
		if (drawn && begin()) {
			DaemonThreads.start("evacuation", () -> run(zone, millis));
		}
	}

	private synchronized boolean begin() {
		boolean begins = !this.active;
		this.active = true;
		return begins;
	}

	private void run(String zone, int millis) {
		logger.info("zone {} is evacuated for {} ms", zone, millis);
		this.operator.evacuate(zone);
		this.checker.recordEvacuated(zone);
		DaemonThreads.sleep(millis);
		this.checker.recordEvacuationEnded(zone);
		this.operator.endEvacuation(zone);
		finished();
	}

	private synchronized void finished() {
		this.active = false;
	}

	synchronized boolean idle() {
		return !this.active;
	}

}
