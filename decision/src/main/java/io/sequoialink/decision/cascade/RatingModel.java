package io.sequoialink.decision.cascade;

/**
 * Reads a noisy rating as the chance that the answer is good enough: scores are taken to
 * be spread evenly near the pass mark, on each side as densely as the share of answers on
 * that side, and ratings to be scores with normal noise. Thread-safe.
 */
final class RatingModel {

	/** Makes the logistic function closest to the normal distribution function. */
	private static final double LOGISTIC_SCALE = 1.702;

	private final double passMark;

	private final NoiseEstimate noise;

	RatingModel(double passMark, NoiseEstimate noise) {
		this.passMark = passMark;
		this.noise = noise;
	}

	/**
	 * Returns the chance that an answer is good enough, given its rating.
	 * @param rating the rating in [0, 1]
	 * @param prior chance before the rating
	 * @return the chance after it
	 */
	double chance(double rating, double prior) {
		double above = 1 / (1 + Math.exp(-LOGISTIC_SCALE * (rating - this.passMark) / this.noise.noise()));
		double good = prior * above;
		double bad = (1 - prior) * (1 - above);
		return (good + bad > 0) ? good / (good + bad) : prior;
	}

}
