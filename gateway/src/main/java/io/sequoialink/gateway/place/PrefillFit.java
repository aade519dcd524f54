package io.sequoialink.gateway.place;

/**
 * Fits the time until the first token of one model's answers as a fixed delay and a time
 * for each prompt token, by least squares in which recent observations weigh most.
 * Confined to the event loop.
 *
 * <p>
 * Invariant: both parts of the estimate are never negative, so a longer prompt never
 * counts as faster. Without the fixed part, the delays of short prompts would count for
 * each token of a long one, and long prompts would seem late with every model.
 */
final class PrefillFit {

	/** Fixed delay that is assumed before there are observations, in milliseconds. */
	private static final double PRIOR_FIXED_MILLIS = 60;

	/** Time for each token that is assumed before, in milliseconds. */
	private static final double PRIOR_MILLIS_PER_TOKEN = 0.03;

	/** Length of the second of the two prompts that stand for the prior, in tokens. */
	private static final double PRIOR_TOKENS = 8000;

	/** Factor by which the weight of an observation falls with each later one. */
	private static final double DECAY = 0.97;

	/**
	 * Multiple of the present estimate above which an observation counts as this
	 * multiple: it has waited for other requests.
	 */
	private static final double MAX_OVERRUN = 3;

	private static final double MIN_VARIANCE = 1;

	private double weight;

	private double tokens;

	private double millis;

	private double tokensSquared;

	private double tokensByMillis;

	PrefillFit() {
		add(0, PRIOR_FIXED_MILLIS);
		add(PRIOR_TOKENS, PRIOR_FIXED_MILLIS + PRIOR_TOKENS * PRIOR_MILLIS_PER_TOKEN);
	}

	/**
	 * Adds an observation.
	 * @param promptTokens tokens that the engine processed
	 * @param observedMillis time until the response began, in milliseconds
	 */
	void observe(double promptTokens, double observedMillis) {
		add(promptTokens, Math.min(observedMillis, MAX_OVERRUN * estimateMillis(promptTokens)));
	}

	private void add(double promptTokens, double observedMillis) {
		this.weight = DECAY * this.weight + 1;
		this.tokens = DECAY * this.tokens + promptTokens;
		this.millis = DECAY * this.millis + observedMillis;
		this.tokensSquared = DECAY * this.tokensSquared + promptTokens * promptTokens;
		this.tokensByMillis = DECAY * this.tokensByMillis + promptTokens * observedMillis;
	}

	/**
	 * Returns the estimated time until the first token.
	 * @param promptTokens tokens that are not in the engine's cache
	 * @return estimate in milliseconds
	 */
	double estimateMillis(double promptTokens) {
		double meanTokens = this.tokens / this.weight;
		double meanMillis = this.millis / this.weight;
		double variance = Math.max(MIN_VARIANCE, this.tokensSquared / this.weight - meanTokens * meanTokens);
		double covariance = this.tokensByMillis / this.weight - meanTokens * meanMillis;
		double perToken = Math.max(0, Math.min(covariance / variance, meanMillis / Math.max(1, meanTokens)));
		double fixed = meanMillis - perToken * meanTokens;
		return fixed + perToken * promptTokens;
	}

}
