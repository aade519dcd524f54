package io.sequoialink.decision.rollout;

/**
 * Answer counts on one route during a roll-out. Immutable.
 *
 * @param target counts of the new version
 * @param reference counts of the old versions
 */
public record RouteAnswerCounts(AnswerCounts target, AnswerCounts reference) {

	/** Zero answers of both versions. */
	public static final RouteAnswerCounts NONE = new RouteAnswerCounts(AnswerCounts.NONE, AnswerCounts.NONE);

	/**
	 * Adds two counts.
	 * @param other the counts to add
	 * @return the sum
	 */
	public RouteAnswerCounts plus(RouteAnswerCounts other) {
		return new RouteAnswerCounts(this.target.plus(other.target), this.reference.plus(other.reference));
	}

	/**
	 * Returns the counts with one more answer.
	 * @param ofTarget whether the new version gave the answer
	 * @param bad whether the answer was a failure or several times slower than usual
	 * @return the increased counts
	 */
	public RouteAnswerCounts with(boolean ofTarget, boolean bad) {
		return ofTarget ? new RouteAnswerCounts(this.target.with(bad), this.reference)
				: new RouteAnswerCounts(this.target, this.reference.with(bad));
	}

}
