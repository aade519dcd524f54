package io.sequoialink.decision.rollout;

/**
 * How many answers a version gave, and how many of them were bad. Immutable.
 *
 * @param answers all answers, bad ones included
 * @param bad answers that were failures or several times slower than usual
 */
public record AnswerCounts(long answers, long bad) {

	/** No answers. */
	public static final AnswerCounts NONE = new AnswerCounts(0, 0);

	/**
	 * Returns the counts with one more answer.
	 * @param wasBad whether the answer was bad
	 * @return the sum
	 */
	public AnswerCounts with(boolean wasBad) {
		return new AnswerCounts(this.answers + 1, this.bad + (wasBad ? 1 : 0));
	}

	/**
	 * Returns the sum of two counts.
	 * @param other the other counts
	 * @return the sum
	 */
	public AnswerCounts plus(AnswerCounts other) {
		return new AnswerCounts(this.answers + other.answers, this.bad + other.bad);
	}

}
