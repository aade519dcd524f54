package io.sequoialink.soak;

import java.util.Random;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets the store return from an older copy at random, after which the operator and the
 * servers write again what they wrote. What hosts wrote is lost. Thread-safe.
 */
final class StoreReturnInjector {

	private static final Logger logger = LoggerFactory.getLogger(StoreReturnInjector.class);

	private static final int SEED_MASK = 0xE4A5;

	/**
	 * Time after the last return until the operator writes again, in milliseconds, in
	 * which hosts must keep the configuration that the store has lost.
	 */
	private static final int LAST_GAP_MILLIS = 1200;

	private final Random random;

	private final SimulatedStore store;

	private final Operator operator;

	private final BackendServerPool servers;

	private final DisturbanceTracker disturbances;

	private boolean active;

	StoreReturnInjector(long seed, SimulatedStore store, Operator operator, BackendServerPool servers,
			DisturbanceTracker disturbances) {
		this.random = new Random(seed ^ SEED_MASK);
		this.store = store;
		this.operator = operator;
		this.servers = servers;
		this.disturbances = disturbances;
	}

	/**
	 * Starts a return in the background in 1 of 8 calls.
	 */
	synchronized void returnAtRandom() {
		boolean drawn = this.random.nextInt(8) == 0;
		SimulatedStore.Fault fault = this.random.nextBoolean() ? SimulatedStore.Fault.BUSY
				: SimulatedStore.Fault.SILENT;
		int awayMillis = this.random.nextInt(900);
		int ageMillis = 500 + this.random.nextInt(6000);
		int gapMillis = this.random.nextInt(1500);
		if (!drawn || this.active || this.disturbances.storeCalm()) {
			return;
		}
		this.active = true;
		DaemonThreads.start("store-return", () -> {
			returnFromCopy(fault, awayMillis, ageMillis, () -> DaemonThreads.sleep(gapMillis));
			finished();
		});
	}

	/**
	 * Lets the store return from a copy made before the newest changes. Blocks until the
	 * operator and the servers have written again.
	 * @param ageMillis age of the copy in milliseconds
	 * @param duringGap what to do while the store has only the copy
	 */
	void returnFinally(int ageMillis, Runnable duringGap) {
		returnFromCopy(SimulatedStore.Fault.BUSY, 0, ageMillis, () -> {
			DaemonThreads.sleep(LAST_GAP_MILLIS);
			duringGap.run();
		});
	}

	private void returnFromCopy(SimulatedStore.Fault fault, int awayMillis, int ageMillis, Runnable duringGap) {
		logger.info("the store is away ({}) for {} ms and returns from a copy {} ms old", fault, awayMillis, ageMillis);
		this.disturbances.begin("store");
		try {
			this.store.setFault(fault);
			DaemonThreads.sleep(awayMillis);
			this.store.returnFromCopy(ageMillis);
			this.store.setFault(SimulatedStore.Fault.NONE);
			duringGap.run();
			this.operator.writeAgain();
			this.servers.writeAgain();
		}
		finally {
			this.disturbances.end("store");
		}
	}

	private synchronized void finished() {
		this.active = false;
	}

	synchronized boolean idle() {
		return !this.active;
	}

}
