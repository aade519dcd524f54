package io.sequoialink.decision.cascade;

/**
 * Values each version as first and as next attempt by backward induction from the dearest
 * version: the worth of the expected good answers less the expected cost of this and all
 * later attempts. Takes time and memory in the square and the first power of the number
 * of versions. Confined to one thread.
 */
final class EscalationPlan {

	/** Answers are kept: no later attempt is worth its cost. */
	static final int STOP = -1;

	private final int size;

	/** Cost of the prompt, in micro-euros, ascending. */
	final double[] promptCost;

	/** Cost of an answer of the expected length, in micro-euros. */
	final double[] answerCost;

	/** Chance of a good answer as first attempt. */
	final double[] first;

	/** Expected time to the first token, in milliseconds. */
	final double[] firstMillis;

	/** Expected time from the first to the last token, in milliseconds. */
	final double[] answerMillis;

	/** Worth of a session that stays on the version, in micro-euros. */
	final double[] bound;

	/** Chance of a good answer after a failed version: failed version, then version. */
	final double[][] after;

	private final double[] cost;

	private final double[] millis;

	private final double[] worthAfterFailure;

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
		this.firstMillis = new double[size];
		this.answerMillis = new double[size];
		this.cost = new double[size];
		this.first = new double[size];
		this.millis = new double[size];
		this.bound = new double[size];
		this.after = new double[size][size];
		this.worthAfterFailure = new double[size];
		this.laterCost = new double[size];
		this.nextTier = new int[size];
	}

	/**
	 * Works out what follows each failed version.
	 * @param length length of the answer, as a multiple of the expected one
	 * @param remainingMillis time left before the first of two attempts
	 * @param waitMillis time that a rating takes between attempts
	 */
	void solve(double length, double remainingMillis, double waitMillis) {
		for (int i = 0; i < this.size; i++) {
			this.cost[i] = this.promptCost[i] + length * this.answerCost[i];
			this.millis[i] = this.firstMillis[i] + length * this.answerMillis[i];
		}
		for (int failed = this.size - 1; failed >= 0; failed--) {
			this.worthAfterFailure[failed] = this.bound[failed];
			this.nextTier[failed] = STOP;
			for (int next = failed + 1; next < this.size; next++) {
				boolean inTime = this.millis[failed] + waitMillis + this.millis[next] <= remainingMillis;
				double worth = inTime ? worth(next, this.after[failed][next]) : Double.NEGATIVE_INFINITY;
				if (worth > this.worthAfterFailure[failed]) {
					this.worthAfterFailure[failed] = worth;
					this.nextTier[failed] = next;
				}
			}
			int next = this.nextTier[failed];
			this.laterCost[failed] = (next == STOP) ? 0
					: this.cost[next] + (1 - this.after[failed][next]) * this.laterCost[next];
		}
	}

	/**
	 * Returns the expected time to the whole answer.
	 * @param version index of the version
	 * @return milliseconds
	 */
	double millis(int version) {
		return this.millis[version];
	}

	/**
	 * Returns the worth of a first attempt whose answer cannot be taken back.
	 * @param version index of the version
	 * @return micro-euros
	 */
	double singleWorth(int version) {
		return this.price * this.first[version] - this.cost[version] + this.bound[version];
	}

	/**
	 * Returns the worth of a first attempt that later ones may follow.
	 * @param version index of the version
	 * @return micro-euros
	 */
	double startWorth(int version) {
		return worth(version, this.first[version]);
	}

	/**
	 * Returns the expected cost of a first attempt and those that follow it.
	 * @param version index of the version
	 * @return micro-euros
	 */
	double expectedCost(int version) {
		return this.cost[version] + (1 - this.missingShare) * (1 - this.first[version]) * this.laterCost[version];
	}

	/**
	 * Returns the gain of another attempt over keeping the best answer at hand.
	 * @param best index of the version that gave the best answer
	 * @param chance chance that it is good enough
	 * @param last index of the version that was tried last
	 * @param next index of the version to try
	 * @return micro-euros
	 */
	double gain(int best, double chance, int last, int next) {
		double good = this.after[last][next];
		double bothBad = (1 - chance) * (1 - good);
		double later = (1 - this.missingShare) * bothBad * (this.worthAfterFailure[next] - this.bound[next]);
		return this.price * (1 - chance) * good - this.cost[next] + this.bound[next] - this.bound[best] + later;
	}

	private double worth(int version, double good) {
		double escalated = (1 - this.missingShare) * (1 - good);
		return this.price * good - this.cost[version] + (1 - escalated) * this.bound[version]
				+ escalated * this.worthAfterFailure[version];
	}

}
