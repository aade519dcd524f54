package io.sequoialink.decision.cascade;

/**
 * Estimates the standard deviation of the noise of ratings from a histogram around the
 * pass mark. Assumes that true scores are uniformly distributed on each side near the
 * mark, with a higher density above it. The noise then moves ratings from the denser side
 * across the mark, and their number is proportional to its standard deviation.
 * Thread-safe: one lock, a leaf in the lock order.
 */
final class NoiseEstimate {

	/** Width of each of the four bins around the pass mark, on the scale of ratings. */
	private static final double BIN_WIDTH = 0.15;

	/** Mean of max(0, X) for a standard normal variable X. */
	private static final double MEAN_POSITIVE_PART = 0.3989;

	/** Weight of the initially assumed noise, as a difference of densities. */
	private static final double PRIOR_STRENGTH = 150;

	private static final double MIN_NOISE = 0.01;

	private static final double MAX_NOISE = 0.25;

	private static final int REFRESH_INTERVAL = 50;

	/** Number of ratings after which all counts are halved, to follow changes. */
	private static final int HALVING_INTERVAL = 100_000;

	private final double passMark;

	private final double prior;

	private final double[] counts = new double[4];

	private int sinceHalved;

	private double noise;

	NoiseEstimate(double passMark, double prior) {
		this.passMark = passMark;
		this.prior = prior;
		this.noise = prior;
	}

	/**
	 * Counts a rating in its bin of the histogram. A rating outside the four bins around
	 * the pass mark is ignored.
	 * @param rating the rating in [0, 1]
	 */
	synchronized void add(double rating) {
		int bin = (int) Math.floor((rating - this.passMark) / BIN_WIDTH) + 2;
		if (bin < 0 || bin >= this.counts.length) {
			return;
		}
		this.counts[bin]++;
		this.sinceHalved++;
		if (this.sinceHalved % REFRESH_INTERVAL == 0) {
			refresh();
		}
		if (this.sinceHalved >= HALVING_INTERVAL) {
			this.sinceHalved = 0;
			for (int i = 0; i < this.counts.length; i++) {
				this.counts[i] /= 2;
			}
		}
	}

	/**
	 * Returns the estimated standard deviation of the noise.
	 * @return standard deviation on the scale of ratings
	 */
	synchronized double standardDeviation() {
		return this.noise;
	}

	private void refresh() {
		double below = this.counts[0] / BIN_WIDTH;
		double above = this.counts[3] / BIN_WIDTH;
		double movedOver = this.counts[1] - this.counts[0];
		double steepness = MEAN_POSITIVE_PART * Math.max(0, above - below);
		double estimate = (this.prior * PRIOR_STRENGTH + movedOver) / (PRIOR_STRENGTH + steepness);
		this.noise = Math.max(MIN_NOISE, Math.min(MAX_NOISE, estimate));
	}

}
