package io.sequoialink.decision.rollout;

import java.util.Arrays;

/**
 * Counts of answers of one version. Immutable and thread-safe; all counts only grow
 * within one host's life, so that the elementwise maximum of two copies is the newer.
 */
final class Evidence {

	/** Index of attempts begun. */
	static final int STARTED = 0;

	/** Index of attempts that failed, missed deadlines included. */
	static final int FAILED = 1;

	/** Index of attempts that ended whole. */
	static final int WHOLE = 2;

	/** Index of attempts that say nothing of the version, as when a pool was full. */
	static final int NEUTRAL = 3;

	/** Index of whole answers whose rating was given up. */
	static final int UNRATED = 4;

	/** Index of the first rating bucket. */
	static final int RATINGS = 5;

	/** Number of rating buckets over [0, 1]. */
	static final int RATING_BUCKETS = 40;

	/** Index of the first latency bucket. */
	static final int LATENCIES = RATINGS + RATING_BUCKETS;

	/** Number of latency buckets; each is wider than the one below by sqrt(2). */
	static final int LATENCY_BUCKETS = 40;

	/** Number of counts. */
	static final int SIZE = LATENCIES + LATENCY_BUCKETS;

	private static final Evidence NONE = new Evidence(new long[SIZE]);

	private final long[] counts;

	private Evidence(long[] counts) {
		this.counts = counts;
	}

	static Evidence none() {
		return NONE;
	}

	static Evidence of(long[] counts) {
		return new Evidence(Arrays.copyOf(counts, SIZE));
	}

	static int ratingIndex(double rating) {
		double clipped = Math.max(0, Math.min(1, rating));
		return RATINGS + Math.min(RATING_BUCKETS - 1, (int) (clipped * RATING_BUCKETS));
	}

	static int latencyIndex(double millis) {
		double halfPowers = 2 * Math.log(Math.max(1, millis)) / Math.log(2);
		return LATENCIES + Math.min(LATENCY_BUCKETS - 1, (int) halfPowers);
	}

	// Returns the middle of a rating bucket.
	static double ratingOf(int bucket) {
		return (bucket + 0.5) / RATING_BUCKETS;
	}

	Evidence plus(Evidence other) {
		return combine(other, 1);
	}

	Evidence minus(Evidence other) {
		return combine(other, -1);
	}

	// Leaves out attempts in flight: between two restarts of a steady stream, as many of
	// them began before as end after, so what ended is a fair sample.
	Evidence endedOnly() {
		long[] copy = Arrays.copyOf(this.counts, SIZE);
		copy[STARTED] = copy[FAILED] + copy[WHOLE] + copy[NEUTRAL];
		return new Evidence(copy);
	}

	private Evidence combine(Evidence other, int sign) {
		long[] sum = new long[SIZE];
		for (int i = 0; i < SIZE; i++) {
			sum[i] = Math.max(0, this.counts[i] + sign * other.counts[i]);
		}
		return new Evidence(sum);
	}

	// Returns attempts begun that say something of the version.
	long started() {
		return Math.max(0, this.counts[STARTED] - this.counts[NEUTRAL]);
	}

	long failed() {
		return this.counts[FAILED];
	}

	long ended() {
		return this.counts[FAILED] + this.counts[WHOLE];
	}

	long unrated() {
		return this.counts[UNRATED];
	}

	long rated() {
		return sum(RATINGS, RATINGS + RATING_BUCKETS);
	}

	long ratings(int bucket) {
		return this.counts[RATINGS + bucket];
	}

	double failureShare() {
		return (ended() == 0) ? 0 : (double) failed() / ended();
	}

	double meanRating() {
		double sum = 0;
		for (int i = 0; i < RATING_BUCKETS; i++) {
			sum += ratings(i) * ratingOf(i);
		}
		return (rated() == 0) ? 0 : sum / rated();
	}

	double ratingDeviation() {
		double mean = meanRating();
		double sum = 0;
		for (int i = 0; i < RATING_BUCKETS; i++) {
			sum += ratings(i) * (ratingOf(i) - mean) * (ratingOf(i) - mean);
		}
		return (rated() < 2) ? 1 : Math.sqrt(sum / (rated() - 1));
	}

	// Returns whole answers that took at least as long as a latency bucket's bound.
	long slowerThan(int bucket) {
		return sum(LATENCIES + Math.min(bucket, LATENCY_BUCKETS), SIZE);
	}

	// Returns the latency bucket that holds a quantile of the whole answers.
	int latencyQuantile(double quantile) {
		long total = sum(LATENCIES, SIZE);
		long seen = 0;
		for (int i = 0; i < LATENCY_BUCKETS; i++) {
			seen += this.counts[LATENCIES + i];
			if (seen >= quantile * total) {
				return i;
			}
		}
		return LATENCY_BUCKETS;
	}

	private long sum(int from, int to) {
		long sum = 0;
		for (int i = from; i < to; i++) {
			sum += this.counts[i];
		}
		return sum;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Evidence evidence && Arrays.equals(this.counts, evidence.counts);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.counts);
	}

}
