package io.sequoialink.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Which parts of the world were disturbed until when. Safe for threads.
 */
final class Calm {

	private final Map<String, Integer> active = new HashMap<>();

	private final Map<String, Long> ended = new HashMap<>();

	private final LongSupplier clock;

	Calm(LongSupplier clock) {
		this.clock = clock;
	}

	synchronized void disturb(String name) {
		this.active.merge(name, 1, Integer::sum);
	}

	synchronized void settle(String name) {
		this.active.merge(name, -1, Integer::sum);
		this.ended.put(name, this.clock.getAsLong());
	}

	/**
	 * Returns whether a part has not been disturbed for a while.
	 * @param name name of the part
	 * @param sinceNanos earliest monotonic time that counts
	 * @return whether it is calm
	 */
	synchronized boolean since(String name, long sinceNanos) {
		if (this.active.getOrDefault(name, 0) > 0) {
			return false;
		}
		Long end = this.ended.get(name);
		return end == null || end - sinceNanos < 0;
	}

}
