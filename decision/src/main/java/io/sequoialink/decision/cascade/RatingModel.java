package io.sequoialink.decision.cascade;

/**
 * Converts a noisy rating into the probability that the answer is good enough. Assumes
 * that true scores are uniformly distributed on each side of the pass mark, with the
 * density given by the share of answers on that side, and that a rating is the true score
 * plus normally distributed noise. Thread-safe.
 */
final class RatingModel {

	/**
	 * Scale with which the logistic function approximates the normal distribution
	 * function best.
	 */
	private static final double LOGISTIC_SCALE = 1.702;

	private final double passMark;

	private final NoiseEstimate noise;

	RatingModel(double passMark, NoiseEstimate noise) {
		this.passMark = passMark;
		this.noise = noise;
	}

	/**
	 * Returns the posterior probability that an answer is good enough.
	 * @param rating the rating in [0, 1]
	 * @param prior probability without the rating
	 * @return probability given the rating
	 */
	double probability(double rating, double prior) {
		double above = 1 / (1 + Math.exp(-LOGISTIC_SCALE * (rating - this.passMark) / this.noise.standardDeviation()));
		double good = prior * above;
		double bad = (1 - prior) * (1 - above);
		return (good + bad > 0) ? good / (good + bad) : prior;
	}

}
