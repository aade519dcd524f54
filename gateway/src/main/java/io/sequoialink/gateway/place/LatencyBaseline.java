package io.sequoialink.gateway.place;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Tracks the typical duration of responses for each group of comparable ones (identified
 * by a key, such as service and model, or route) and detects those that take several
 * times as long. Confined to the event loop.
 */
public final class LatencyBaseline {

	private static final double SMOOTHING = 0.05;

	/** A duration counts as slow if it exceeds this multiple of the typical one. */
	private static final double SLOW_FACTOR = 5;

	/** Number of durations in a group below which none of them counts as slow. */
	private static final int MIN_SAMPLES = 6;

	private static final double MIN_MILLIS = 0.1;

	private final Map<String, GeometricMean> means = new HashMap<>();

	/**
	 * Returns whether a duration is several times the typical one.
	 * @param key group of comparable durations
	 * @param millis the duration in milliseconds
	 * @return whether it is slow; false while there are too few samples
	 */
	public boolean slow(String key, double millis) {
		OptionalDouble threshold = slowThresholdMillis(key);
		return threshold.isPresent() && millis > threshold.getAsDouble();
	}

	/**
	 * Returns the duration from which a response counts as slow.
	 * @param key group of comparable durations
	 * @return milliseconds, empty while there are too few samples
	 */
	public OptionalDouble slowThresholdMillis(String key) {
		OptionalDouble typical = typicalMillis(key);
		return typical.isPresent() ? OptionalDouble.of(SLOW_FACTOR * typical.getAsDouble()) : typical;
	}

	/**
	 * Returns the geometric mean of the durations in a group, in which recent ones weigh
	 * most.
	 * @param key group of comparable durations
	 * @return milliseconds, empty while there are too few samples
	 */
	public OptionalDouble typicalMillis(String key) {
		GeometricMean mean = this.means.get(key);
		return (mean != null && mean.count >= MIN_SAMPLES) ? OptionalDouble.of(mean.millis()) : OptionalDouble.empty();
	}

	/**
	 * Adds a duration to the mean of its group.
	 * @param key group of comparable durations
	 * @param millis the duration in milliseconds
	 */
	public void observe(String key, double millis) {
		GeometricMean mean = this.means.computeIfAbsent(key, (name) -> new GeometricMean());
		mean.count++;
		mean.meanLog += Math.max(SMOOTHING, 1.0 / mean.count) * (Math.log(Math.max(MIN_MILLIS, millis)) - mean.meanLog);
	}

	/**
	 * Geometric mean with exponential smoothing: it follows slow changes, and a few very
	 * long durations hardly change it. Confined to the event loop.
	 */
	private static final class GeometricMean {

		private long count;

		private double meanLog;

		private double millis() {
			return Math.exp(this.meanLog);
		}

	}

}
