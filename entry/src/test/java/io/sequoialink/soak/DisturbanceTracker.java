package io.sequoialink.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Records which components (hosts, servers, the store) are disturbed by injected faults,
 * and when the last disturbance of each ended. Thread-safe.
 */
final class DisturbanceTracker {

	private final Map<String, Integer> activeDisturbances = new HashMap<>();

	private final Map<String, Long> lastEndNanos = new HashMap<>();

	private int storeCalms;

	private final LongSupplier clock;

	DisturbanceTracker(LongSupplier clock) {
		this.clock = clock;
	}

	/**
	 * Lets no new disturbance of the store begin until {@link #endStoreCalm()}, so that
	 * rules that ask for a stable store are checked at all.
	 */
	synchronized void beginStoreCalm() {
		this.storeCalms++;
	}

	synchronized void endStoreCalm() {
		this.storeCalms--;
	}

	synchronized boolean storeCalm() {
		return this.storeCalms > 0;
	}

	/**
	 * Marks a component as disturbed until {@link #end} was called as often as this
	 * method.
	 * @param name name of the component
	 */
	synchronized void begin(String name) {
		this.activeDisturbances.merge(name, 1, Integer::sum);
	}

	/**
	 * Ends one disturbance of a component.
	 * @param name name of the component
	 */
	synchronized void end(String name) {
		this.activeDisturbances.merge(name, -1, Integer::sum);
		this.lastEndNanos.put(name, this.clock.getAsLong());
	}

	/**
	 * Returns whether a component was undisturbed from a given time until now.
	 * @param name name of the component
	 * @param sinceNanos monotonic time at which the period starts
	 * @return whether no disturbance was active in the period
	 */
	synchronized boolean undisturbedSince(String name, long sinceNanos) {
		if (this.activeDisturbances.getOrDefault(name, 0) > 0) {
			return false;
		}
		Long end = this.lastEndNanos.get(name);
		return end == null || end - sinceNanos < 0;
	}

}
