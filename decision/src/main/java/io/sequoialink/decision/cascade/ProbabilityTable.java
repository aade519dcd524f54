package io.sequoialink.decision.cascade;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import io.sequoialink.model.VersionId;

/**
 * Estimates the success probabilities of the versions for one request class, from
 * exponentially decayed counts of good and bad answers. Counts are kept per version, for
 * first attempts and for attempts after another version's answer was bad. They are
 * fractional since ratings are noisy. When the share of good answers changes abruptly,
 * older counts are dropped. Not thread-safe: guarded by the lock of its
 * {@link RequestClassState}.
 */
final class ProbabilityTable {

	/**
	 * Row of first attempts. The row of attempts after a failed version is the index of
	 * that version plus 1.
	 */
	static final int FIRST_ATTEMPT = 0;

	/** Prior success probability of a version whose rank by cost is not known. */
	private static final double DEFAULT_PRIOR = 0.8;

	/** Number of answers over which the recent share of good ones is averaged. */
	private static final double RECENT_ANSWERS = 30;

	/**
	 * Number of standard deviations by which the recent share must differ from the
	 * long-term share to count as a change.
	 */
	private static final double CHANGE_DEVIATIONS = 5;

	/**
	 * Difference between recent and long-term share that must be exceeded in addition to
	 * the standard deviations.
	 */
	private static final double MIN_CHANGE = 0.05;

	private final Map<VersionId, Integer> indices = new HashMap<>();

	private double[][] goodCounts = new double[1][0];

	private double[][] badCounts = new double[1][0];

	private double[][] recentShares = new double[1][0];

	private double[] priors = new double[0];

	/**
	 * Returns the index of a version, and adds the version if it is new.
	 * @param version the version
	 * @return its index, from 0
	 */
	int indexOf(VersionId version) {
		Integer known = this.indices.get(version);
		if (known != null) {
			return known;
		}
		int index = this.indices.size();
		this.indices.put(version, index);
		this.goodCounts = enlarged(this.goodCounts, index + 1);
		this.badCounts = enlarged(this.badCounts, index + 1);
		this.recentShares = enlarged(this.recentShares, index + 1);
		this.priors = Arrays.copyOf(this.priors, index + 1);
		this.priors[index] = DEFAULT_PRIOR;
		return index;
	}

	/**
	 * Sets the prior success probability of a version's first attempts.
	 * @param index index of the version
	 * @param probability probability that is assumed as long as there are no ratings
	 */
	void setPrior(int index, double probability) {
		this.priors[index] = probability;
	}

	/**
	 * Returns the prior success probability of a version's first attempts.
	 * @param index index of the version
	 * @return probability that is assumed as long as there are no ratings
	 */
	double prior(int index) {
		return this.priors[index];
	}

	/**
	 * Returns how many answers an estimate is based on.
	 * @param row {@link #FIRST_ATTEMPT}, or the index of the failed version plus 1
	 * @param index index of the version
	 * @return number of answers, exponentially decayed
	 */
	double weight(int row, int index) {
		return this.goodCounts[row][index] + this.badCounts[row][index];
	}

	/**
	 * Returns the posterior mean of a success probability.
	 * @param row {@link #FIRST_ATTEMPT}, or the index of the failed version plus 1
	 * @param index index of the version
	 * @param prior mean of the prior
	 * @param strength number of answers that the prior counts as
	 * @return the estimated probability
	 */
	double posteriorMean(int row, int index, double prior, double strength) {
		return (this.goodCounts[row][index] + prior * strength) / (weight(row, index) + strength);
	}

	/**
	 * Adds a rated answer to the counts.
	 * @param row {@link #FIRST_ATTEMPT}, or the index of the failed version plus 1
	 * @param index index of the version
	 * @param probability probability that the answer was good
	 * @param weight number of answers that it represents
	 * @param window number of answers after which counts have lost most of their weight
	 */
	void add(int row, int index, double probability, double weight, double window) {
		double decay = Math.max(0, 1 - weight / window);
		this.goodCounts[row][index] = this.goodCounts[row][index] * decay + weight * probability;
		this.badCounts[row][index] = this.badCounts[row][index] * decay + weight * (1 - probability);
		double total = weight(row, index);
		double rate = Math.min(1, weight / Math.min(RECENT_ANSWERS, total));
		this.recentShares[row][index] += rate * (probability - this.recentShares[row][index]);
		if (total > 2 * RECENT_ANSWERS
				&& hasChanged(this.recentShares[row][index], this.goodCounts[row][index] / total)) {
			this.goodCounts[row][index] = RECENT_ANSWERS * this.recentShares[row][index];
			this.badCounts[row][index] = RECENT_ANSWERS * (1 - this.recentShares[row][index]);
		}
	}

	private static boolean hasChanged(double recent, double longTerm) {
		double deviation = Math.sqrt(longTerm * (1 - longTerm) / (2 * RECENT_ANSWERS - 1));
		return Math.abs(recent - longTerm) > CHANGE_DEVIATIONS * deviation + MIN_CHANGE;
	}

	private static double[][] enlarged(double[][] table, int size) {
		double[][] copy = Arrays.copyOf(table, size + 1);
		for (int row = 0; row <= size; row++) {
			copy[row] = (copy[row] != null) ? Arrays.copyOf(copy[row], size) : new double[size];
		}
		return copy;
	}

}
