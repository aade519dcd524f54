package io.sequoialink.decision.cascade;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import io.sequoialink.model.VersionId;

/**
 * Evidence of one class: aged counts of good and bad answers of each version, first and
 * after another version's answer was found bad. Counts are fractional, since ratings are
 * noisy. When recent answers differ from the usual share, older evidence is dropped. Not
 * thread-safe: guarded by the lock of its {@link ClassState}.
 */
final class ChanceTable {

	/** The row of first attempts; the row of a failed version follows its index. */
	static final int FIRST = 0;

	/** Chance assumed of a version whose rank among others is not known. */
	private static final double UNRANKED = 0.8;

	/** Answers over which the recent share of good ones is averaged. */
	private static final double RECENT = 30;

	/** Standard deviations between recent and usual share that show a change. */
	private static final double CHANGE_DEVIATIONS = 5;

	/** Least difference between recent and usual share that shows a change. */
	private static final double LEAST_CHANGE = 0.05;

	private final Map<VersionId, Integer> indices = new HashMap<>();

	private double[][] good = new double[1][0];

	private double[][] bad = new double[1][0];

	private double[][] recent = new double[1][0];

	private double[] assumed = new double[0];

	/**
	 * Returns the index of a version and adds it if it is new.
	 * @param version the version
	 * @return its index
	 */
	int index(VersionId version) {
		Integer known = this.indices.get(version);
		if (known != null) {
			return known;
		}
		int index = this.indices.size();
		this.indices.put(version, index);
		this.good = grown(this.good, index + 1);
		this.bad = grown(this.bad, index + 1);
		this.recent = grown(this.recent, index + 1);
		this.assumed = Arrays.copyOf(this.assumed, index + 1);
		this.assumed[index] = UNRANKED;
		return index;
	}

	/**
	 * Sets the chance assumed of a version before any evidence.
	 * @param index index of the version
	 * @param chance chance of a good first answer
	 */
	void assume(int index, double chance) {
		this.assumed[index] = chance;
	}

	/**
	 * Returns the chance assumed of a version before any evidence.
	 * @param index index of the version
	 * @return chance of a good first answer
	 */
	double assumed(int index) {
		return this.assumed[index];
	}

	/**
	 * Returns the weight of the evidence.
	 * @param row {@link #FIRST}, or one more than the index of the failed version
	 * @param index index of the version
	 * @return aged number of answers
	 */
	double weight(int row, int index) {
		return this.good[row][index] + this.bad[row][index];
	}

	/**
	 * Returns the posterior mean of a chance.
	 * @param row {@link #FIRST}, or one more than the index of the failed version
	 * @param index index of the version
	 * @param prior mean assumed without evidence
	 * @param strength answers that the prior counts for
	 * @return the estimate
	 */
	double mean(int row, int index, double prior, double strength) {
		return (this.good[row][index] + prior * strength) / (weight(row, index) + strength);
	}

	/**
	 * Adds one answer.
	 * @param row {@link #FIRST}, or one more than the index of the failed version
	 * @param index index of the version
	 * @param chance chance that the answer was good
	 * @param weight answers that it stands for
	 * @param window answers after which evidence has lost most of its weight
	 */
	void add(int row, int index, double chance, double weight, double window) {
		double kept = Math.max(0, 1 - weight / window);
		this.good[row][index] = this.good[row][index] * kept + weight * chance;
		this.bad[row][index] = this.bad[row][index] * kept + weight * (1 - chance);
		double total = weight(row, index);
		double learning = Math.min(1, weight / Math.min(RECENT, total));
		this.recent[row][index] += learning * (chance - this.recent[row][index]);
		if (total > 2 * RECENT && changed(this.recent[row][index], this.good[row][index] / total)) {
			this.good[row][index] = RECENT * this.recent[row][index];
			this.bad[row][index] = RECENT * (1 - this.recent[row][index]);
		}
	}

	private static boolean changed(double recent, double usual) {
		double deviation = Math.sqrt(usual * (1 - usual) / (2 * RECENT - 1));
		return Math.abs(recent - usual) > CHANGE_DEVIATIONS * deviation + LEAST_CHANGE;
	}

	private static double[][] grown(double[][] table, int size) {
		double[][] copy = Arrays.copyOf(table, size + 1);
		for (int row = 0; row <= size; row++) {
			copy[row] = (copy[row] != null) ? Arrays.copyOf(copy[row], size) : new double[size];
		}
		return copy;
	}

}
