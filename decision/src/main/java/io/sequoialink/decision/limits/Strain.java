package io.sequoialink.decision.limits;

/**
 * How hard pressed the engines of a service are, by how much of the time that answers may
 * take to begin they do take. Whoever asks for optional work asks for less of it the
 * later answers begin. In proportion to the mean of the last seconds and without a memory
 * beyond it, so that it neither lags behind a burst nor outlasts it. Confined to one
 * thread.
 */
public final class Strain {

	/** Share of the permitted time that beginnings take without any queue before them. */
	private static final double CALM = 0.21;

	/** Strain for each part of the permitted time beyond that. */
	private static final double STEEPNESS = 12;

	/** Least weight of one observation in the mean. */
	private static final double MIN_WEIGHT = 0.05;

	/** Most weight of one observation, however rare they are. */
	private static final double MAX_WEIGHT = 0.1;

	/** Time over which the mean is taken, in nanoseconds. */
	private static final double MEAN_NANOS = 1.5e9;

	/** An answer that is later than this many times the permitted time says no more. */
	private static final double MOST_SHARE = 1.5;

	private static final double MAX = 6;

	private double mean;

	private long last;

	/**
	 * Takes an observation.
	 * @param share time until an answer began, as a share of the permitted time
	 * @param nowNanos monotonic time
	 */
	public void observe(double share, long nowNanos) {
		double since = (this.last == 0) ? 0 : nowNanos - this.last;
		double weight = Math.max(MIN_WEIGHT, Math.min(MAX_WEIGHT, 1 - Math.exp(-since / MEAN_NANOS)));
		this.last = nowNanos;
		this.mean += weight * (Math.min(share, MOST_SHARE) - this.mean);
	}

	/**
	 * Returns the strain.
	 * @return 0 if there is none, up to 6
	 */
	public double value() {
		return Math.max(0, Math.min(MAX, STEEPNESS * (this.mean - CALM)));
	}

}
