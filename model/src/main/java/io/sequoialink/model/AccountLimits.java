package io.sequoialink.model;

/**
 * The limits of one client account over the whole fleet. Immutable and thread-safe; every
 * limit is positive.
 *
 * @param requestsPerSecond admitted requests a second
 * @param concurrency admitted requests in flight at one time
 * @param tokensPerSecond generated and prompt tokens a second
 */
public record AccountLimits(double requestsPerSecond, int concurrency, double tokensPerSecond) {

	/** Limits that no account reaches. */
	public static final AccountLimits UNLIMITED = new AccountLimits(1e9, Integer.MAX_VALUE, 1e12);

	public AccountLimits {
		if (!(requestsPerSecond > 0) || concurrency <= 0 || !(tokensPerSecond > 0)) {
			throw new IllegalArgumentException("account limits must be positive: " + requestsPerSecond + " requests/s, "
					+ concurrency + " concurrent, " + tokensPerSecond + " tokens/s");
		}
	}

}
