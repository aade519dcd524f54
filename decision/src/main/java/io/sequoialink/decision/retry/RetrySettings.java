package io.sequoialink.decision.retry;

/**
 * Settings of {@link BudgetedRetryPolicy}. Immutable and thread-safe; the constructor
 * rejects values out of range.
 *
 * @param budgetShare number of retries that each success adds to the budget, in [0, 1]
 * @param burst maximum and initial number of retries in the budget, 1 to 10,000
 * @param maxAttempts maximum number of attempts of one request, 1 to 10
 * @param baseDelayMillis upper bound of the delay before the first retry, in
 * milliseconds, 0 to 60,000; it doubles with each retry
 * @param maxDelayMillis maximum delay before a retry, in milliseconds, at least
 * {@code baseDelayMillis}
 * @param minAttemptMillis time that must be left until the deadline after the delay for a
 * retry to be started, in milliseconds, at least 0
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
	 * Returns the default settings.
	 * @return the default settings
	 */
	public static RetrySettings defaults() {
		return new RetrySettings(0.1, 10, 3, 20, 2_000, 50);
	}

	private static void require(boolean valid, String name, double value, String accepted) {
		if (!valid) {
			throw new IllegalArgumentException("retry." + name + " is " + value + ": use " + accepted);
		}
	}

}
