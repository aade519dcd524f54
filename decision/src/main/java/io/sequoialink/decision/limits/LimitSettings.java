package io.sequoialink.decision.limits;

/**
 * Settings of {@link FleetAdmissionPolicy}. Immutable and thread-safe; the constructor
 * rejects values out of range.
 *
 * @param minConcurrency lower bound of a host's concurrency limit, in requests in flight,
 * 1 to 10,000
 * @param maxConcurrency upper bound of a host's concurrency limit, in requests in flight,
 * at least {@code minConcurrency}
 * @param latencyTolerance ratio of the mean latency to the unloaded latency above which
 * the concurrency limit shrinks, 1 to 10
 * @param latencyWindowMillis time between two adaptations of the concurrency limit, in
 * milliseconds, 10 to 60,000
 * @param settleMillis time between the announcement of a higher demand and the use of the
 * higher share of the limits, in milliseconds, 0 to 60,000
 * @param silentMillis time without an announcement after which a peer counts as silent,
 * in milliseconds, at least {@code settleMillis}
 * @param demandHalfLifeMillis half-life of the exponentially averaged request rate, in
 * milliseconds, 100 to 600,000
 * @param evenShare share in [0, 1] of each limit that is split evenly between the hosts
 * and not by demand
 * @param poolOvercommit number of admitted requests per request that the backend servers
 * can run at the same time, 1 to 4; the excess waits in the queues of the servers
 * @param priorityStep share in [0, 0.1] of the concurrency limit that is reserved for
 * higher priorities, per priority level
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
	 * Returns the default settings.
	 * @return the default settings
	 */
	public static LimitSettings defaults() {
		return new LimitSettings(4, 10_000, 1.6, 500, 1_000, 3_000, 2_000, 0.1, 1.7, 0.05);
	}

	private static void require(boolean valid, String name, double value, String accepted) {
		if (!valid) {
			throw new IllegalArgumentException("limits." + name + " is " + value + ": use " + accepted);
		}
	}

}
