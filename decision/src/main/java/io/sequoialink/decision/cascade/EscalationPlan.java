package io.sequoialink.decision.cascade;

/**
 * Computes the expected value of each version as first and as next attempt, by backward
 * induction from the most expensive version: the price of a good answer times the
 * expected number of good answers, minus the expected cost of this and all later
 * attempts. Time and memory grow with the square of the number of versions. Confined to
 * one thread.
 */
final class EscalationPlan {

	/** No escalation: the expected gain of no further attempt exceeds its cost. */
	static final int STOP = -1;

	private final int size;

	/** Cost of the prompt by version, in micro-euros, ascending. */
	final double[] promptCost;

	/** Cost of an answer of the expected length by version, in micro-euros. */
	final double[] answerCost;

	/** Probability of a good answer on the first attempt, by version. */
	final double[] firstProbability;

	/** Expected time to the first token by version, in milliseconds. */
	final double[] firstTokenMillis;

	/** Expected time from the first to the last token by version, in milliseconds. */
	final double[] generationMillis;

	/**
	 * Expected value of the later turns of the session if it stays on the version, in
	 * micro-euros; 0 for a request that starts no session.
	 */
	final double[] sessionValue;

	/**
	 * Probability of a good answer after another version's bad answer, indexed by the
	 * failed version and then by the next version.
	 */
	final double[][] probabilityAfterFailure;

	private final double[] cost;

	private final double[] expectedMillis;

	private final double[] valueAfterFailure;

	private final double[] laterCost;

	private final int[] nextTier;

	private final double price;

	private final double missingShare;

	EscalationPlan(int size, double price, double missingShare) {
		this.size = size;
		this.price = price;
		this.missingShare = missingShare;
		this.promptCost = new double[size];
		this.answerCost = new double[size];
		this.firstTokenMillis = new double[size];
		this.generationMillis = new double[size];
		this.cost = new double[size];
		this.firstProbability = new double[size];
		this.expectedMillis = new double[size];
		this.sessionValue = new double[size];
		this.probabilityAfterFailure = new double[size][size];
		this.valueAfterFailure = new double[size];
		this.laterCost = new double[size];
		this.nextTier = new int[size];
	}

	/**
	 * Computes the best escalation after a bad answer of each version.
	 * @param length length of the answer, as a multiple of the expected length
	 * @param remainingMillis time left before the first of two attempts, in milliseconds
	 * @param waitMillis time to wait for a rating between the attempts, in milliseconds
	 */
	void solve(double length, double remainingMillis, double waitMillis) {
		for (int i = 0; i < this.size; i++) {
			this.cost[i] = this.promptCost[i] + length * this.answerCost[i];
			this.expectedMillis[i] = this.firstTokenMillis[i] + length * this.generationMillis[i];
		}
		for (int failed = this.size - 1; failed >= 0; failed--) {
			this.valueAfterFailure[failed] = this.sessionValue[failed];
			this.nextTier[failed] = STOP;
			for (int next = failed + 1; next < this.size; next++) {
				boolean inTime = this.expectedMillis[failed] + waitMillis
						+ this.expectedMillis[next] <= remainingMillis;
				double value = inTime ? value(next, this.probabilityAfterFailure[failed][next])
						: Double.NEGATIVE_INFINITY;
				if (value > this.valueAfterFailure[failed]) {
					this.valueAfterFailure[failed] = value;
					this.nextTier[failed] = next;
				}
			}
			int next = this.nextTier[failed];
			this.laterCost[failed] = (next == STOP) ? 0
					: this.cost[next] + (1 - this.probabilityAfterFailure[failed][next]) * this.laterCost[next];
		}
	}

	/**
	 * Returns the expected time to the complete answer.
	 * @param version index of the version
	 * @return time in milliseconds
	 */
	double expectedMillis(int version) {
		return this.expectedMillis[version];
	}

	/**
	 * Returns the expected value of a first attempt whose answer cannot be escalated.
	 * @param version index of the version
	 * @return value in micro-euros
	 */
	double valueWithoutEscalation(int version) {
		return this.price * this.firstProbability[version] - this.cost[version] + this.sessionValue[version];
	}

	/**
	 * Returns the expected value of a first attempt that may be escalated.
	 * @param version index of the version
	 * @return value in micro-euros
	 */
	double valueWithEscalation(int version) {
		return value(version, this.firstProbability[version]);
	}

	/**
	 * Returns the expected cost of a first attempt and of the escalations after it.
	 * @param version index of the version
	 * @return cost in micro-euros
	 */
	double expectedCost(int version) {
		return this.cost[version]
				+ (1 - this.missingShare) * (1 - this.firstProbability[version]) * this.laterCost[version];
	}

	/**
	 * Returns the expected gain of another attempt compared to returning the best answer
	 * so far.
	 * @param best index of the version that produced the best answer
	 * @param probability probability that the best answer is good enough
	 * @param last index of the version that was tried last
	 * @param next index of the version to try
	 * @return gain in micro-euros
	 */
	double gain(int best, double probability, int last, int next) {
		double nextProbability = this.probabilityAfterFailure[last][next];
		double bothBad = (1 - probability) * (1 - nextProbability);
		double later = (1 - this.missingShare) * bothBad * (this.valueAfterFailure[next] - this.sessionValue[next]);
		return this.price * (1 - probability) * nextProbability - this.cost[next] + this.sessionValue[next]
				- this.sessionValue[best] + later;
	}

	private double value(int version, double probability) {
		double escalated = (1 - this.missingShare) * (1 - probability);
		return this.price * probability - this.cost[version] + (1 - escalated) * this.sessionValue[version]
				+ escalated * this.valueAfterFailure[version];
	}

}
