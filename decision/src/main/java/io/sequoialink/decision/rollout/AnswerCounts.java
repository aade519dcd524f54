package io.sequoialink.decision.rollout;

/**
 * Number of answers of a version, and how many of them were bad. Immutable.
 *
 * @param answers all answers, bad ones included
 * @param bad answers that were failures or several times slower than usual
 */
public record AnswerCounts(long answers, long bad) {

	/** Zero answers. */
	public static final AnswerCounts NONE = new AnswerCounts(0, 0);

	/**
	 * Returns the counts with one more answer.
	 * @param wasBad whether the answer was bad
	 * @return the increased counts
	 */
	public AnswerCounts with(boolean wasBad) {
		return new AnswerCounts(this.answers + 1, this.bad + (wasBad ? 1 : 0));
	}

	/**
	 * Adds two counts.
	 * @param other the counts to add
	 * @return the sum
	 */
	public AnswerCounts plus(AnswerCounts other) {
		return new AnswerCounts(this.answers + other.answers, this.bad + other.bad);
	}

}
