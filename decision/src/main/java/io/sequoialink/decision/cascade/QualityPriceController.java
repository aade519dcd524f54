package io.sequoialink.decision.cascade;

/**
 * Keeps the share of good answers of a request class at its target. A feedback controller
 * sums up the shortfall (good answers missing compared to the target) and derives the
 * price of a good answer from it, which is what one more good answer may cost: the price
 * rises while the target is missed and falls while it is exceeded. Answers without a
 * rating increase the safety margin. Not thread-safe: guarded by the lock of its
 * {@link RequestClassState}.
 */
final class QualityPriceController {

	/**
	 * Logarithm of the lowest price, relative to the cost of an answer of the most
	 * expensive version.
	 */
	private static final double LOG_MIN_PRICE = Math.log(0.02);

	/**
	 * Logarithm of the highest price, relative to the cost of an answer of the most
	 * expensive version.
	 */
	private static final double LOG_MAX_PRICE = Math.log(200);

	/**
	 * Number of answers over which the shortfall of expected answers that never arrive,
	 * such as turns of abandoned sessions, decays.
	 */
	private static final double EXPECTED_SHORTFALL_WINDOW = 1000;

	private final CascadeParameters parameters;

	private double logBasePrice;

	private double shortfall;

	private double expectedShortfall;

	private double unratedVariance;

	QualityPriceController(CascadeParameters parameters) {
		this.parameters = parameters;
		this.logBasePrice = Math.log(parameters.startPrice());
	}

	/**
	 * Records an answer that was returned to the client and adjusts the price.
	 * @param target quality target of the request class
	 * @param probability probability that the answer is good enough
	 * @param weight number of answers that it represents
	 */
	void recordAnswer(double target, double probability, double weight) {
		double decay = 1 - 1 / this.parameters.targetWindow();
		this.unratedVariance = this.unratedVariance * decay + weight * probability * (1 - probability);
		this.shortfall = this.shortfall * decay + weight * (target - probability);
		this.expectedShortfall *= 1 - 1 / EXPECTED_SHORTFALL_WINDOW;
		double error = this.shortfall + this.expectedShortfall + safetyMargin();
		double gain = this.parameters.priceGain();
		this.logBasePrice = clamp(this.logBasePrice + priceChange(error) / this.parameters.priceMemory());
		double limited = Math.max((LOG_MIN_PRICE - this.logBasePrice) / gain,
				Math.min((LOG_MAX_PRICE - this.logBasePrice) / gain, error));
		this.shortfall += limited - error;
	}

	/**
	 * Adds the expected shortfall of future answers, such as the later turns of a
	 * session. The caller removes it again, with a negative number, when such an answer
	 * has been returned.
	 * @param target quality target of the request class
	 * @param probability probability that each of the answers is good enough
	 * @param answers number of answers; negative to remove them
	 */
	void addExpectedAnswers(double target, double probability, double answers) {
		this.expectedShortfall += answers * (target - probability);
	}

	/**
	 * Returns the current price of a good answer.
	 * @return the price, relative to the cost of an answer of the most expensive version
	 */
	double price() {
		return Math
			.exp(clamp(this.logBasePrice + priceChange(this.shortfall + this.expectedShortfall + safetyMargin())));
	}

	private double priceChange(double error) {
		return this.parameters.priceGain() * error * (1 + Math.max(0, error) / this.parameters.urgency());
	}

	private static double clamp(double logPrice) {
		return Math.max(LOG_MIN_PRICE, Math.min(LOG_MAX_PRICE, logPrice));
	}

	private double safetyMargin() {
		return this.parameters.safety() * Math.sqrt(this.unratedVariance);
	}

}
