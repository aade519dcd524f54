package io.sequoialink.decision.limits;

/**
 * Limits requests in flight by the gradient of their latency: while the mean time a token
 * takes stays near its unloaded value the limit grows, and it shrinks in proportion when
 * it rises. Not thread-safe: guarded by its policy's lock. The limit stays within the
 * settings' bounds.
 */
final class AdaptiveLimit {

	/** Tokens whose time stands for the fixed part of a request. */
	private static final double FIXED_TOKENS = 20;

	private static final double MIN_GRADIENT = 0.7;

	/** Part of the distance by which the unloaded value follows a higher one. */
	private static final double BASELINE_RISE = 0.002;

	private static final int MIN_SAMPLES = 30;

	/** Part of the limit that must be in use for it to grow. */
	private static final double GROWTH_USE = 0.5;

	private final LimitSettings settings;

	private double limit;

	private double unloaded = Double.NaN;

	private double sum;

	private int samples;

	private int peakInFlight;

	private long windowStartMillis = Long.MIN_VALUE;

	AdaptiveLimit(LimitSettings settings) {
		this.settings = settings;
		this.limit = Math.min(settings.maxConcurrency(), Math.max(settings.minConcurrency(), 32));
	}

	/**
	 * Returns the limit. Until the first adaptation it is what the pool is known to hold.
	 * @param pool requests that this host's share of the pool holds; infinite if unknown
	 * @return requests in flight that this host may admit
	 */
	double limit(double pool) {
		boolean adapted = !Double.isNaN(this.unloaded);
		if (!adapted && !Double.isInfinite(pool)) {
			this.limit = Math.max(this.limit, Math.min(this.settings.maxConcurrency(), pool));
		}
		return this.limit;
	}

	void sample(long tokens, double latencyMillis, int inFlight, long nowMillis) {
		if (this.windowStartMillis == Long.MIN_VALUE) {
			this.windowStartMillis = nowMillis;
		}
		this.sum += latencyMillis / (tokens + FIXED_TOKENS);
		this.samples++;
		this.peakInFlight = Math.max(this.peakInFlight, inFlight);
		boolean windowOver = nowMillis - this.windowStartMillis >= this.settings.latencyWindowMillis();
		if (windowOver && this.samples >= MIN_SAMPLES) {
			adapt(this.sum / this.samples);
			this.sum = 0;
			this.samples = 0;
			this.peakInFlight = inFlight;
			this.windowStartMillis = nowMillis;
		}
	}

	private void adapt(double mean) {
		this.unloaded = (Double.isNaN(this.unloaded) || mean < this.unloaded) ? mean
				: this.unloaded + BASELINE_RISE * (mean - this.unloaded);
		double gradient = Math.min(1, this.settings.latencyTolerance() * this.unloaded / mean);
		double room = (this.peakInFlight >= GROWTH_USE * this.limit) ? Math.sqrt(this.limit) : 0;
		double wanted = this.limit * Math.max(MIN_GRADIENT, gradient) + ((gradient < 1) ? 0 : room);
		this.limit = Math.max(this.settings.minConcurrency(), Math.min(this.settings.maxConcurrency(), wanted));
	}

}
