package io.sequoialink.decision.cascade;

/**
 * Keeps a class's share of good answers at its target: counts answers missed against the
 * target and turns them into the price that a good answer is worth, which rises while the
 * target is missed and falls while it is exceeded. What is not rated widens the margin.
 * Not thread-safe: guarded by the lock of its {@link ClassState}.
 */
final class TargetAccount {

	/** Least price, in costs of an answer of the dearest version. */
	private static final double MIN_PRICE = 0.02;

	/** Highest price, in costs of an answer of the dearest version. */
	private static final double MAX_PRICE = 200;

	private final CascadeParameters parameters;

	private double missed;

	private double unratedVariance;

	TargetAccount(CascadeParameters parameters) {
		this.parameters = parameters;
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
		double margin = margin();
		double next = this.missed * kept + weight * (target - chance);
		double least = Math.log(MIN_PRICE / this.parameters.startPrice()) / this.parameters.priceGain() - margin;
		double most = Math.log(MAX_PRICE / this.parameters.startPrice()) / this.parameters.priceGain() - margin;
		this.missed = Math.max(least, Math.min(most, next));
	}

	/**
	 * Returns what a good answer is worth.
	 * @return the price, in costs of an answer of the dearest version
	 */
	double price() {
		double price = this.parameters.startPrice() * Math.exp(this.parameters.priceGain() * (this.missed + margin()));
		return Math.max(MIN_PRICE, Math.min(MAX_PRICE, price));
	}

	private double margin() {
		return this.parameters.safety() * Math.sqrt(this.unratedVariance);
	}

}
