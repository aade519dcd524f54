package io.sequoialink.gateway.count;

import java.util.HashMap;
import java.util.Map;

/**
 * Histograms of durations by label. The number of labels is bounded: durations beyond it
 * are added to the label "other". Confined to the event loop.
 */
public final class DurationHistograms {

	/** Upper limits of the buckets in milliseconds; one more bucket has no limit. */
	private static final double[] BUCKET_LIMITS = { 10, 25, 50, 100, 200, 400, 800, 1500, 3000, 6000, 12000, 25000 };

	private static final int MAX_LABELS = 200;

	private final Map<String, Histogram> buckets = new HashMap<>();

	/**
	 * Adds a duration.
	 * @param label label of its histogram
	 * @param millis the duration in milliseconds
	 */
	public void add(String label, double millis) {
		boolean known = this.buckets.containsKey(label) || this.buckets.size() < MAX_LABELS;
		this.buckets.computeIfAbsent(known ? label : LabelledCounters.OTHER, (key) -> new Histogram()).add(millis);
	}

	/**
	 * Returns the upper limits of all buckets but the last.
	 * @return limits in milliseconds, inclusive
	 */
	public static double[] bucketLimits() {
		return BUCKET_LIMITS.clone();
	}

	/**
	 * Returns the histograms by label.
	 * @return a copy of the map
	 */
	public Map<String, Histogram> histograms() {
		return Map.copyOf(this.buckets);
	}

	/**
	 * Histogram of one label. Confined to the event loop.
	 */
	public static final class Histogram {

		private final long[] counts = new long[BUCKET_LIMITS.length + 1];

		private double sum;

		private void add(double millis) {
			int index = 0;
			while (index < BUCKET_LIMITS.length && millis > BUCKET_LIMITS[index]) {
				index++;
			}
			this.counts[index]++;
			this.sum += millis;
		}

		/**
		 * Returns the number of durations in each bucket.
		 * @return numbers per bucket, not cumulative
		 */
		public long[] counts() {
			return this.counts.clone();
		}

		/**
		 * Returns the sum of all durations.
		 * @return milliseconds
		 */
		public double sum() {
			return this.sum;
		}

	}

}
