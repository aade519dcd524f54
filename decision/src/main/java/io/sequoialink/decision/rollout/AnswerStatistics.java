package io.sequoialink.decision.rollout;

import java.util.Arrays;

/**
 * Counts of a version's attempts by outcome, rating and latency. Immutable and
 * thread-safe. Within one process of a host all counts only grow, so the element-wise
 * maximum of two copies is the newer one.
 */
final class AnswerStatistics {

	/** Index of the attempts that were started. */
	static final int STARTED = 0;

	/** Index of the attempts that failed, missed deadlines included. */
	static final int FAILED = 1;

	/** Index of the attempts that ended with a complete answer. */
	static final int SUCCEEDED = 2;

	/**
	 * Index of the attempts whose outcome says nothing about the version, for example a
	 * rejection for lack of capacity or a cancellation by the client.
	 */
	static final int NEUTRAL = 3;

	/** Index of the complete answers that were not rated in time. */
	static final int UNRATED = 4;

	/** Index of the first rating bucket. */
	static final int RATINGS = 5;

	/** Number of rating buckets; they divide [0, 1] evenly. */
	static final int RATING_BUCKETS = 40;

	/** Index of the first latency bucket. */
	static final int LATENCIES = RATINGS + RATING_BUCKETS;

	/** Number of latency buckets; the bounds grow by a factor of sqrt(2). */
	static final int LATENCY_BUCKETS = 40;

	/** Number of counts. */
	static final int SIZE = LATENCIES + LATENCY_BUCKETS;

	private static final AnswerStatistics EMPTY = new AnswerStatistics(new long[SIZE]);

	private final long[] counts;

	private AnswerStatistics(long[] counts) {
		this.counts = counts;
	}

	static AnswerStatistics empty() {
		return EMPTY;
	}

	static AnswerStatistics of(long[] counts) {
		return new AnswerStatistics(Arrays.copyOf(counts, SIZE));
	}

	static int ratingIndex(double rating) {
		double clipped = Math.max(0, Math.min(1, rating));
		return RATINGS + Math.min(RATING_BUCKETS - 1, (int) (clipped * RATING_BUCKETS));
	}

	static int latencyIndex(double millis) {
		double halfPowers = 2 * Math.log(Math.max(1, millis)) / Math.log(2);
		return LATENCIES + Math.min(LATENCY_BUCKETS - 1, (int) halfPowers);
	}

	// Returns the rating in the middle of a bucket.
	static double bucketRating(int bucket) {
		return (bucket + 0.5) / RATING_BUCKETS;
	}

	AnswerStatistics plus(AnswerStatistics other) {
		return combine(other, 1);
	}

	AnswerStatistics minus(AnswerStatistics other) {
		return combine(other, -1);
	}

	// Leaves out attempts in flight. With steady traffic about as many attempts are in
	// flight at one restart as at the next, so the ended ones are a fair sample.
	AnswerStatistics withoutInFlight() {
		long[] copy = Arrays.copyOf(this.counts, SIZE);
		copy[STARTED] = copy[FAILED] + copy[SUCCEEDED] + copy[NEUTRAL];
		return new AnswerStatistics(copy);
	}

	private AnswerStatistics combine(AnswerStatistics other, int sign) {
		long[] sum = new long[SIZE];
		for (int i = 0; i < SIZE; i++) {
			sum[i] = Math.max(0, this.counts[i] + sign * other.counts[i]);
		}
		return new AnswerStatistics(sum);
	}

	// Returns the number of started attempts, without those whose outcome says nothing
	// about the version.
	long started() {
		return Math.max(0, this.counts[STARTED] - this.counts[NEUTRAL]);
	}

	long failed() {
		return this.counts[FAILED];
	}

	long ended() {
		return this.counts[FAILED] + this.counts[SUCCEEDED];
	}

	long unrated() {
		return this.counts[UNRATED];
	}

	long rated() {
		return sum(RATINGS, RATINGS + RATING_BUCKETS);
	}

	long ratingCount(int bucket) {
		return this.counts[RATINGS + bucket];
	}

	double failureShare() {
		return (ended() == 0) ? 0 : (double) failed() / ended();
	}

	double meanRating() {
		double sum = 0;
		for (int i = 0; i < RATING_BUCKETS; i++) {
			sum += ratingCount(i) * bucketRating(i);
		}
		return (rated() == 0) ? 0 : sum / rated();
	}

	double ratingStandardDeviation() {
		double mean = meanRating();
		double sum = 0;
		for (int i = 0; i < RATING_BUCKETS; i++) {
			sum += ratingCount(i) * (bucketRating(i) - mean) * (bucketRating(i) - mean);
		}
		return (rated() < 2) ? 1 : Math.sqrt(sum / (rated() - 1));
	}

	// Returns the number of complete answers in this latency bucket and those above
	// it.
	long atLeastAsSlowAs(int bucket) {
		return sum(LATENCIES + Math.min(bucket, LATENCY_BUCKETS), SIZE);
	}

	// Returns the latency bucket that contains a quantile of the complete answers.
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
		return other instanceof AnswerStatistics statistics && Arrays.equals(this.counts, statistics.counts);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.counts);
	}

}
