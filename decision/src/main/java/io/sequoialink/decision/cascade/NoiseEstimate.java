package io.sequoialink.decision.cascade;

/**
 * Estimates the noise of ratings from their spread around the pass mark. True scores are
 * taken to be spread evenly on each side near the mark, but more densely above it; noise
 * then moves ratings from the dense side over the mark, in proportion to its standard
 * deviation. Thread-safe: one lock, a leaf in the lock order.
 */
final class NoiseEstimate {

	/** Width of the four bins around the pass mark, on the scale of ratings. */
	private static final double BIN = 0.15;

	/** Mean of the positive part of a standard normal variable. */
	private static final double MEAN_POSITIVE_PART = 0.3989;

	/** Difference of densities that the assumed noise counts for. */
	private static final double PRIOR_STRENGTH = 150;

	private static final double LEAST = 0.01;

	private static final double MOST = 0.25;

	private static final int REFRESH = 50;

	/** Ratings after which half of the evidence is forgotten. */
	private static final int WINDOW = 100_000;

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
	 * Adds a rating.
	 * @param rating the rating in [0, 1]
	 */
	synchronized void add(double rating) {
		int bin = (int) Math.floor((rating - this.passMark) / BIN) + 2;
		if (bin < 0 || bin >= this.counts.length) {
			return;
		}
		this.counts[bin]++;
		this.sinceHalved++;
		if (this.sinceHalved % REFRESH == 0) {
			refresh();
		}
		if (this.sinceHalved >= WINDOW) {
			this.sinceHalved = 0;
			for (int i = 0; i < this.counts.length; i++) {
				this.counts[i] /= 2;
			}
		}
	}

	/**
	 * Returns the estimated standard deviation.
	 * @return on the scale of ratings
	 */
	synchronized double noise() {
		return this.noise;
	}

	private void refresh() {
		double below = this.counts[0] / BIN;
		double above = this.counts[3] / BIN;
		double movedOver = this.counts[1] - this.counts[0];
		double steepness = MEAN_POSITIVE_PART * Math.max(0, above - below);
		double estimate = (this.prior * PRIOR_STRENGTH + movedOver) / (PRIOR_STRENGTH + steepness);
		this.noise = Math.max(LEAST, Math.min(MOST, estimate));
	}

}
