package io.sequoialink.gateway.place;

import java.util.OptionalLong;

/**
 * Estimate of how long work takes at one server at present, as a factor of the usual time
 * (1 is usual, 4 is four times slower), from the server's reports and from measured
 * times. Confined to the event loop.
 *
 * <p>
 * The estimate is a weighted geometric mean. A new value outweighs those from more than a
 * second before, and the weight of all fades until the next one arrives, so that the
 * factor returns to 1. A server that was slow is therefore tried again, which shows
 * whether it has recovered.
 */
public final class ServerSpeed {

	/** Age at which a value's weight against a new one has fallen to 1/e. */
	private static final double REPLACEMENT_NANOS = 1e9;

	/**
	 * Age at which the weight of the estimate against the usual speed is 1/e. One of many
	 * hosts sends a request to the same server only every few seconds.
	 */
	private static final double FADING_NANOS = 20e9;

	/** Weight of the factor 1, as that of one report. */
	private static final double USUAL_WEIGHT = 0.1;

	/**
	 * Weight of a measured time, as that of one report. It is low because a measured time
	 * also contains delays that the server did not cause, such as those of the network.
	 */
	private static final double MEASURED_WEIGHT = 0.2;

	/** Limit of the weight, so that many reports in succession fade as soon as few. */
	private static final double MAX_WEIGHT = 2;

	private static final double MIN_FACTOR = 0.25;

	private static final double MAX_FACTOR = 16;

	private static final double PERCENT = 100;

	private double meanLog;

	private double weight;

	private long updatedAt;

	/**
	 * Records a report of the server.
	 * @param percent how long work takes, in percent of the usual time
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void reported(int percent, long nowNanos) {
		add(percent / PERCENT, 1, nowNanos);
	}

	/**
	 * Records a measured time. Times shorter than expected count as usual, because they
	 * mostly come from a prompt in the engine's cache.
	 * @param millis the measured time, in milliseconds
	 * @param expectedMillis time for the same work at servers of the same version, in
	 * milliseconds
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void measured(double millis, double expectedMillis, long nowNanos) {
		if (expectedMillis > 0) {
			add(Math.max(1, millis / expectedMillis), MEASURED_WEIGHT, nowNanos);
		}
	}

	private void add(double factor, double factorWeight, long nowNanos) {
		double kept = this.weight * Math.exp((this.updatedAt - nowNanos) / REPLACEMENT_NANOS);
		double log = Math.log(Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor)));
		this.meanLog = (kept * this.meanLog + factorWeight * log) / (kept + factorWeight);
		this.weight = Math.min(MAX_WEIGHT, kept + factorWeight);
		this.updatedAt = nowNanos;
	}

	/**
	 * Returns the factor by which work takes longer than usual.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the factor, from 0.25 to 16; 1 if nothing is known
	 */
	public double factor(long nowNanos) {
		if (this.weight == 0) {
			return 1;
		}
		double faded = this.weight * Math.exp((this.updatedAt - nowNanos) / FADING_NANOS);
		return Math.exp(this.meanLog * faded / (faded + USUAL_WEIGHT));
	}

	/**
	 * Returns the age of the estimate.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return time since the last value in nanoseconds, empty if there is none
	 */
	public OptionalLong ageNanos(long nowNanos) {
		return (this.weight == 0) ? OptionalLong.empty() : OptionalLong.of(nowNanos - this.updatedAt);
	}

}
