package io.sequoialink.decision.cascade;

/**
 * Keeps a class's share of good answers at its target: counts answers missed against the
 * target and turns them into the price that a good answer is worth, which rises while the
 * target is missed and falls while it is exceeded. What is not rated widens the margin.
 * Not thread-safe: guarded by the lock of its {@link ClassState}.
 */
final class TargetAccount {

	/** Logarithm of the least price, in costs of an answer of the dearest version. */
	private static final double LOG_MIN_PRICE = Math.log(0.02);

	/** Logarithm of the highest price, in costs of an answer of the dearest version. */
	private static final double LOG_MAX_PRICE = Math.log(200);

	/** Answers after which what was foreseen and never came has lost its weight. */
	private static final double FORESEEN_MEMORY = 1000;

	private final CascadeParameters parameters;

	private double basePrice;

	private double missed;

	private double foreseen;

	private double unratedVariance;

	TargetAccount(CascadeParameters parameters) {
		this.parameters = parameters;
		this.basePrice = Math.log(parameters.startPrice());
	}

	/**
	 * Adds an answer that was given to its caller.
	 * @param target the target of its class
	 * @param chance chance that the answer is good enough
	 * @param weight answers that it stands for
	 */
	void add(double target, double chance, double weight) {
		double kept = 1 - 1 / this.parameters.targetWindow();
		this.unratedVariance = this.unratedVariance * kept + weight * chance * (1 - chance);
		this.missed = this.missed * kept + weight * (target - chance);
		this.foreseen *= 1 - 1 / FORESEEN_MEMORY;
		double error = this.missed + this.foreseen + margin();
		double gain = this.parameters.priceGain();
		this.basePrice = clamp(this.basePrice + push(error) / this.parameters.priceMemory());
		double limited = Math.max((LOG_MIN_PRICE - this.basePrice) / gain,
				Math.min((LOG_MAX_PRICE - this.basePrice) / gain, error));
		this.missed += limited - error;
	}

	/**
	 * Books answers that are still to come, such as the later turns of a session; each is
	 * booked out again when it is given.
	 * @param target the target of its class
	 * @param chance chance that each is good enough
	 * @param answers how many, negative to book out
	 */
	void foresee(double target, double chance, double answers) {
		this.foreseen += answers * (target - chance);
	}

	/**
	 * Returns what a good answer is worth.
	 * @return the price, in costs of an answer of the dearest version
	 */
	double price() {
		return Math.exp(clamp(this.basePrice + push(this.missed + this.foreseen + margin())));
	}

	private double push(double error) {
		return this.parameters.priceGain() * error * (1 + Math.max(0, error) / this.parameters.urgency());
	}

	private static double clamp(double logPrice) {
		return Math.max(LOG_MIN_PRICE, Math.min(LOG_MAX_PRICE, logPrice));
	}

	private double margin() {
		return this.parameters.safety() * Math.sqrt(this.unratedVariance);
	}

}
