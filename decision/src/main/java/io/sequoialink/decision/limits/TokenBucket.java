package io.sequoialink.decision.limits;

/**
 * A token bucket whose rate may change. Not thread-safe: guarded by its policy's lock.
 * The level may be negative when more was used than was reserved.
 */
final class TokenBucket {

	private static final double MILLIS_PER_SECOND = 1000;

	private double level;

	private long filledAtMillis;

	private TokenBucket(double level, long nowMillis) {
		this.level = level;
		this.filledAtMillis = nowMillis;
	}

	// Returns a bucket that holds its burst after it was first filled.
	static TokenBucket full(long nowMillis) {
		return new TokenBucket(Double.MAX_VALUE, nowMillis);
	}

	void fill(double perSecond, double burst, long nowMillis) {
		double added = perSecond * Math.max(0, nowMillis - this.filledAtMillis) / MILLIS_PER_SECOND;
		this.level = Math.min(burst, this.level + added);
		this.filledAtMillis = Math.max(this.filledAtMillis, nowMillis);
	}

	boolean holds(double amount) {
		return this.level >= amount;
	}

	void take(double amount) {
		this.level -= amount;
	}

	// Returns the time until the bucket holds an amount, in milliseconds.
	long millisUntil(double amount, double perSecond) {
		return (long) Math.ceil(Math.max(0, amount - this.level) / perSecond * MILLIS_PER_SECOND);
	}

}
