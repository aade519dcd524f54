package io.sequoialink.decision.limits;

/**
 * Limit of the requests in flight that adapts to the latency gradient: the limit grows
 * while the mean time per token stays near its unloaded value, and shrinks in proportion
 * when that time rises. The limit stays within the bounds of the settings. Not
 * thread-safe: guarded by the lock of its policy.
 */
final class AdaptiveConcurrencyLimit {

	/** Fixed time of a request, expressed as a number of tokens. */
	private static final double FIXED_COST_TOKENS = 20;

	private static final double MIN_GRADIENT = 0.7;

	/**
	 * Share of the difference by which the unloaded value rises towards a higher mean in
	 * each adaptation; a lower mean replaces it at once.
	 */
	private static final double BASELINE_RISE_RATE = 0.002;

	private static final int MIN_SAMPLES = 30;

	/** Share of the limit that must have been in use for the limit to grow. */
	private static final double MIN_USE_TO_GROW = 0.5;

	private final LimitSettings settings;

	private double limit;

	private double unloadedTokenMillis = Double.NaN;

	private double tokenMillisSum;

	private int samples;

	private int peakInFlight;

	private long windowStartMillis = Long.MIN_VALUE;

	AdaptiveConcurrencyLimit(LimitSettings settings) {
		this.settings = settings;
		this.limit = Math.min(settings.maxConcurrency(), Math.max(settings.minConcurrency(), 32));
	}

	/**
	 * Returns the current limit. Until the first adaptation, it is at least the known
	 * capacity of the server pool.
	 * @param pool number of requests that this host's share of the server pool can run;
	 * infinite if unknown
	 * @return maximum number of requests in flight on this host
	 */
	double limit(double pool) {
		boolean adapted = !Double.isNaN(this.unloadedTokenMillis);
		if (!adapted && !Double.isInfinite(pool)) {
			this.limit = Math.max(this.limit, Math.min(this.settings.maxConcurrency(), pool));
		}
		return this.limit;
	}

	void recordSample(long tokens, double latencyMillis, int inFlight, long nowMillis) {
		if (this.windowStartMillis == Long.MIN_VALUE) {
			this.windowStartMillis = nowMillis;
		}
		this.tokenMillisSum += latencyMillis / (tokens + FIXED_COST_TOKENS);
		this.samples++;
		this.peakInFlight = Math.max(this.peakInFlight, inFlight);
		boolean windowOver = nowMillis - this.windowStartMillis >= this.settings.latencyWindowMillis();
		if (windowOver && this.samples >= MIN_SAMPLES) {
			adapt(this.tokenMillisSum / this.samples);
			this.tokenMillisSum = 0;
			this.samples = 0;
			this.peakInFlight = inFlight;
			this.windowStartMillis = nowMillis;
		}
	}

	private void adapt(double mean) {
		this.unloadedTokenMillis = (Double.isNaN(this.unloadedTokenMillis) || mean < this.unloadedTokenMillis) ? mean
				: this.unloadedTokenMillis + BASELINE_RISE_RATE * (mean - this.unloadedTokenMillis);
		double gradient = Math.min(1, this.settings.latencyTolerance() * this.unloadedTokenMillis / mean);
		double growth = (this.peakInFlight >= MIN_USE_TO_GROW * this.limit) ? Math.sqrt(this.limit) : 0;
		double target = this.limit * Math.max(MIN_GRADIENT, gradient) + ((gradient < 1) ? 0 : growth);
		this.limit = Math.max(this.settings.minConcurrency(), Math.min(this.settings.maxConcurrency(), target));
	}

}
