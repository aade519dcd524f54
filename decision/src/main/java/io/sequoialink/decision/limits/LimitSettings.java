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
 * @param poolOvercommit admitted requests for each one that the backend servers can run,
 * 1 to 4; what is above 1 waits there
 * @param priorityStep part in [0, 0.1] of the concurrency that each lower priority leaves
 * to those above it
 */
public record LimitSettings(int minConcurrency, int maxConcurrency, double latencyTolerance, long latencyWindowMillis,
		long settleMillis, long silentMillis, long demandHalfLifeMillis, double evenShare, double poolOvercommit,
		double priorityStep) {

	public LimitSettings {
		require(minConcurrency >= 1 && minConcurrency <= 10_000, "minConcurrency", minConcurrency,
				"1 to 10,000 requests");
		require(maxConcurrency >= minConcurrency, "maxConcurrency", maxConcurrency, "at least minConcurrency");
		require(latencyTolerance >= 1 && latencyTolerance <= 10, "latencyTolerance", latencyTolerance, "1 to 10");
		require(latencyWindowMillis >= 10 && latencyWindowMillis <= 60_000, "latencyWindowMillis", latencyWindowMillis,
				"10 ms to 60 s");
		require(settleMillis >= 0 && settleMillis <= 60_000, "settleMillis", settleMillis, "0 to 60 s");
		require(silentMillis >= settleMillis, "silentMillis", silentMillis, "at least settleMillis");
		require(demandHalfLifeMillis >= 100 && demandHalfLifeMillis <= 600_000, "demandHalfLifeMillis",
				demandHalfLifeMillis, "100 ms to 10 minutes");
		require(evenShare >= 0 && evenShare <= 1, "evenShare", evenShare, "0 to 1");
		require(poolOvercommit >= 1 && poolOvercommit <= 4, "poolOvercommit", poolOvercommit, "1 to 4");
		require(priorityStep >= 0 && priorityStep <= 0.1, "priorityStep", priorityStep, "0 to 0.1");
	}

	/**
	 * Returns the default parameters.
	 * @return the defaults
	 */
	public static LimitSettings defaults() {
		return new LimitSettings(4, 10_000, 1.6, 500, 1_000, 3_000, 2_000, 0.1, 1.7, 0.05);
	}

	private static void require(boolean holds, String name, double value, String accepted) {
		if (!holds) {
			throw new IllegalArgumentException("limits." + name + " is " + value + ": use " + accepted);
		}
	}

}
