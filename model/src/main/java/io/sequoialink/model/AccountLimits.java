package io.sequoialink.model;

/**
 * Limits of a client account, enforced over all hosts of the fleet together. Immutable
 * and thread-safe; every limit is positive.
 *
 * @param requestsPerSecond greatest number of admitted requests per second
 * @param concurrency greatest number of admitted requests in flight
 * @param tokensPerSecond greatest number of prompt and output tokens per second
 */
public record AccountLimits(double requestsPerSecond, int concurrency, double tokensPerSecond) {

	/** Limits so high that no account reaches them. */
	public static final AccountLimits UNLIMITED = new AccountLimits(1e9, Integer.MAX_VALUE, 1e12);

	public AccountLimits {
		if (!(requestsPerSecond > 0) || concurrency <= 0 || !(tokensPerSecond > 0)) {
			throw new IllegalArgumentException("account limits must be positive: " + requestsPerSecond + " requests/s, "
					+ concurrency + " concurrent, " + tokensPerSecond + " tokens/s");
		}
	}

}
