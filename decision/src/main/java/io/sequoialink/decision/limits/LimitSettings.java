package io.sequoialink.decision.limits;

/**
 * Parameters of admission. Immutable and thread-safe; every value lies in its range.
 *
 * @param minConcurrency the least requests in flight that a host admits, 1 to 10,000
 * @param maxConcurrency the most, at least {@code minConcurrency}
 * @param latencyTolerance mean latency over the unloaded one above which the host admits
 * less, 1 to 10
 * @param latencyWindowMillis time between two adaptations, in milliseconds, 10 to 60,000
 * @param settleMillis time that a higher demand must have been announced before the host
 * uses the higher share, in milliseconds, 0 to 60,000
 * @param silentMillis time without an announcement after which a peer counts as silent,
 * in milliseconds, at least {@code settleMillis}
 * @param demandHalfLifeMillis half-life of the estimated demand, in milliseconds, 100 to
 * 600,000
 * @param evenShare part in [0, 1] of each limit that is split evenly and not by demand
 * @param priorityStep part in [0, 0.1] of the concurrency that each lower priority leaves
 * to those above it
 */
public record LimitSettings(int minConcurrency, int maxConcurrency, double latencyTolerance, long latencyWindowMillis,
		long settleMillis, long silentMillis, long demandHalfLifeMillis, double evenShare, double priorityStep) {

	public LimitSettings {
		require(minConcurrency >= 1 && minConcurrency <= 10_000, "minConcurrency", minConcurrency);
		require(maxConcurrency >= minConcurrency, "maxConcurrency", maxConcurrency);
		require(latencyTolerance >= 1 && latencyTolerance <= 10, "latencyTolerance", latencyTolerance);
		require(latencyWindowMillis >= 10 && latencyWindowMillis <= 60_000, "latencyWindowMillis", latencyWindowMillis);
		require(settleMillis >= 0 && settleMillis <= 60_000, "settleMillis", settleMillis);
		require(silentMillis >= settleMillis, "silentMillis", silentMillis);
		require(demandHalfLifeMillis >= 100 && demandHalfLifeMillis <= 600_000, "demandHalfLifeMillis",
				demandHalfLifeMillis);
		require(evenShare >= 0 && evenShare <= 1, "evenShare", evenShare);
		require(priorityStep >= 0 && priorityStep <= 0.1, "priorityStep", priorityStep);
	}

	/**
	 * Returns the default parameters.
	 * @return the defaults
	 */
	public static LimitSettings defaults() {
		return new LimitSettings(4, 10_000, 1.25, 500, 1_000, 3_000, 2_000, 0.1, 0.05);
	}

	private static void require(boolean holds, String name, double value) {
		if (!holds) {
			throw new IllegalArgumentException("limit setting " + name + " is out of its range: " + value);
		}
	}

}
