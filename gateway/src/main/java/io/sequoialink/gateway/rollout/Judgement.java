package io.sequoialink.gateway.rollout;

import io.sequoialink.decision.rollout.AnswerCounts;

/**
 * What the answers that all hosts saw say of a version. Immutable.
 *
 * @param tested answers of the version
 * @param reference answers of the old versions, mixed like those of the version
 * @param hosts hosts that told of answers, this one included
 * @param score logarithm of the e-value against the version
 * @param worse whether they speak against it
 * @param probablyWorse whether they rather speak against it than not
 */
record Judgement(AnswerCounts tested, AnswerCounts reference, int hosts, double score, boolean worse,
		boolean probablyWorse) {

	static final Judgement NONE = new Judgement(AnswerCounts.NONE, AnswerCounts.NONE, 0, 0, false, false);

	/**
	 * Returns how many answers of the version were judged.
	 * @return number of answers
	 */
	long answers() {
		return this.tested.answers();
	}

}
