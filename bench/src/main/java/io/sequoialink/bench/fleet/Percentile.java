package io.sequoialink.bench.fleet;

import java.util.List;

/**
 * Percentiles of measured times. Stateless and thread-safe.
 */
final class Percentile {

	private Percentile() {
	}

	/**
	 * Returns the time that 99 in 100 don't exceed.
	 * @param times the times
	 * @return a time, 0 without any
	 */
	static long p99(List<Long> times) {
		List<Long> sorted = times.stream().sorted().toList();
		return sorted.isEmpty() ? 0 : sorted.get((int) Math.ceil(sorted.size() * 0.99) - 1);
	}

}
