package io.sequoialink.decision.retry;

/**
 * Parameters of retries. Immutable and thread-safe; every value lies in its range.
 *
 * @param budgetShare retries for each success, in [0, 1]
 * @param burst the most retries saved up, 1 to 10,000
 * @param maxAttempts the most attempts of one request, 1 to 10
 * @param baseDelayMillis delay before the first retry, in milliseconds, 0 to 60,000
 * @param maxDelayMillis the longest delay, in milliseconds, at least the base
 * @param minAttemptMillis the least time that an attempt is worth starting with, in
 * milliseconds, at least 0
 */
public record RetrySettings(double budgetShare, double burst, int maxAttempts, long baseDelayMillis,
		long maxDelayMillis, long minAttemptMillis) {

	public RetrySettings {
		require(budgetShare >= 0 && budgetShare <= 1, "budgetShare", budgetShare, "0 to 1");
		require(burst >= 1 && burst <= 10_000, "burst", burst, "1 to 10,000 retries");
		require(maxAttempts >= 1 && maxAttempts <= 10, "maxAttempts", maxAttempts, "1 to 10");
		require(baseDelayMillis >= 0 && baseDelayMillis <= 60_000, "baseDelayMillis", baseDelayMillis, "0 to 60 s");
		require(maxDelayMillis >= baseDelayMillis, "maxDelayMillis", maxDelayMillis, "at least baseDelayMillis");
		require(minAttemptMillis >= 0, "minAttemptMillis", minAttemptMillis, "at least 0 ms");
	}

	/**
	 * Returns the default parameters.
	 * @return the defaults
	 */
	public static RetrySettings defaults() {
		return new RetrySettings(0.1, 10, 3, 20, 2_000, 50);
	}

	private static void require(boolean holds, String name, double value, String accepted) {
		if (!holds) {
			throw new IllegalArgumentException("retry." + name + " is " + value + ": use " + accepted);
		}
	}

}
