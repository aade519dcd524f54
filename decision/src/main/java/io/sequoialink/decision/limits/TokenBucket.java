package io.sequoialink.decision.limits;

/**
 * A token bucket whose rate may change. The level becomes negative when a request used
 * more tokens than were reserved for it. Not thread-safe: guarded by the lock of its
 * policy.
 */
final class TokenBucket {

	private static final double MILLIS_PER_SECOND = 1000;

	private double level;

	private long refilledAtMillis;

	private TokenBucket(double level, long nowMillis) {
		this.level = level;
		this.refilledAtMillis = nowMillis;
	}

	// Returns a bucket that contains its full burst after the first refill.
	static TokenBucket full(long nowMillis) {
		return new TokenBucket(Double.MAX_VALUE, nowMillis);
	}

	void refill(double perSecond, double burst, long nowMillis) {
		double added = perSecond * Math.max(0, nowMillis - this.refilledAtMillis) / MILLIS_PER_SECOND;
		this.level = Math.min(burst, this.level + added);
		this.refilledAtMillis = Math.max(this.refilledAtMillis, nowMillis);
	}

	boolean contains(double amount) {
		return this.level >= amount;
	}

	void remove(double amount) {
		this.level -= amount;
	}

	// Returns the time until the bucket contains an amount, in milliseconds.
	long millisUntil(double amount, double perSecond) {
		return (long) Math.ceil(Math.max(0, amount - this.level) / perSecond * MILLIS_PER_SECOND);
	}

}
