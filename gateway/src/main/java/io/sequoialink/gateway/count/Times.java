package io.sequoialink.gateway.count;

import java.util.HashMap;
import java.util.Map;

/**
 * How long things took, in buckets by a label. Bounded like {@link LabelledCounts}.
 * Confined to the event loop.
 */
public final class Times {

	/** Upper bounds of the buckets in milliseconds; one more bucket has none. */
	private static final double[] BOUNDS = { 10, 25, 50, 100, 200, 400, 800, 1500, 3000, 6000, 12000, 25000 };

	private static final int MAX_LABELS = 200;

	private final Map<String, Buckets> buckets = new HashMap<>();

	/**
	 * Adds a time.
	 * @param label what took the time
	 * @param millis the time in milliseconds
	 */
	public void add(String label, double millis) {
		boolean known = this.buckets.containsKey(label) || this.buckets.size() < MAX_LABELS;
		this.buckets.computeIfAbsent(known ? label : LabelledCounts.OTHER, (key) -> new Buckets()).add(millis);
	}

	/**
	 * Returns the upper bounds of all buckets but the last.
	 * @return bounds in milliseconds
	 */
	public static double[] bounds() {
		return BOUNDS.clone();
	}

	/**
	 * Returns the buckets by label.
	 * @return the buckets
	 */
	public Map<String, Buckets> buckets() {
		return Map.copyOf(this.buckets);
	}

	/**
	 * Times of one label. Confined to the event loop.
	 */
	public static final class Buckets {

		private final long[] counts = new long[BOUNDS.length + 1];

		private double sum;

		private void add(double millis) {
			int index = 0;
			while (index < BOUNDS.length && millis > BOUNDS[index]) {
				index++;
			}
			this.counts[index]++;
			this.sum += millis;
		}

		/**
		 * Returns the number of times in each bucket.
		 * @return counts, not summed up
		 */
		public long[] counts() {
			return this.counts.clone();
		}

		/**
		 * Returns the sum of all times.
		 * @return milliseconds
		 */
		public double sum() {
			return this.sum;
		}

	}

}
