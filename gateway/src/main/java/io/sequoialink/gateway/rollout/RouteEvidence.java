package io.sequoialink.gateway.rollout;

import io.sequoialink.decision.rollout.AnswerCounts;

/**
 * Answers on one route during a roll-out. Immutable.
 *
 * @param target answers of the new version
 * @param reference answers of the old versions
 */
public record RouteEvidence(AnswerCounts target, AnswerCounts reference) {

	/** No answers. */
	public static final RouteEvidence NONE = new RouteEvidence(AnswerCounts.NONE, AnswerCounts.NONE);

	/**
	 * Returns the sum of two counts.
	 * @param other the other counts
	 * @return the sum
	 */
	public RouteEvidence plus(RouteEvidence other) {
		return new RouteEvidence(this.target.plus(other.target), this.reference.plus(other.reference));
	}

	/**
	 * Returns the counts with one more answer.
	 * @param ofTarget whether the new version gave it
	 * @param bad whether it was bad
	 * @return the sum
	 */
	public RouteEvidence with(boolean ofTarget, boolean bad) {
		return ofTarget ? new RouteEvidence(this.target.with(bad), this.reference)
				: new RouteEvidence(this.target, this.reference.with(bad));
	}

}
