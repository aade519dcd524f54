package io.sequoialink.decision.limits;

/**
 * Measures the latency pressure of the engines of a service: how far the recent mean time
 * to the first part of an answer, as a share of the permitted time, exceeds the usual
 * share. Callers reduce optional work, such as escalations to larger models, as the
 * pressure rises. The value depends on the mean of the last seconds only, so that it
 * neither lags behind a burst nor outlasts it. Confined to one thread.
 */
public final class LatencyPressure {

	/** Share of the permitted time that the first part takes without any queueing. */
	private static final double USUAL_SHARE = 0.21;

	/** Increase of the pressure per additional share of the permitted time. */
	private static final double GAIN = 12;

	/** Minimum weight of one observation in the mean. */
	private static final double MIN_WEIGHT = 0.05;

	/**
	 * Maximum weight of one observation, however long ago the previous one was.
	 */
	private static final double MAX_WEIGHT = 0.1;

	/** Time constant of the exponential mean, in nanoseconds. */
	private static final double MEAN_NANOS = 1.5e9;

	/** Upper bound of an observed share; longer times count as this share. */
	private static final double MAX_SHARE = 1.5;

	private static final double MAX_PRESSURE = 6;

	private double meanShare;

	private long lastNanos;

	/**
	 * Adds an observation.
	 * @param share time to the first part of an answer, as a share of the permitted time
	 * @param nowNanos current monotonic time in nanoseconds
	 */
	public void observe(double share, long nowNanos) {
		double elapsed = (this.lastNanos == 0) ? 0 : nowNanos - this.lastNanos;
		double weight = Math.max(MIN_WEIGHT, Math.min(MAX_WEIGHT, 1 - Math.exp(-elapsed / MEAN_NANOS)));
		this.lastNanos = nowNanos;
		this.meanShare += weight * (Math.min(share, MAX_SHARE) - this.meanShare);
	}

	/**
	 * Returns the current pressure.
	 * @return pressure from 0 (no queueing) to 6
	 */
	public double value() {
		return Math.max(0, Math.min(MAX_PRESSURE, GAIN * (this.meanShare - USUAL_SHARE)));
	}

}
