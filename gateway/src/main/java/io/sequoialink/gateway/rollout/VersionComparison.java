package io.sequoialink.gateway.rollout;

import io.sequoialink.decision.rollout.AnswerCounts;

/**
 * Result of comparing the new version's answers with those of the old versions, summed
 * over all hosts. Immutable.
 *
 * @param tested answer counts of the new version
 * @param reference answer counts of the old versions
 * @param hosts number of hosts whose counts are included, this one too
 * @param score natural logarithm of the e-value (strength of evidence) for the hypothesis
 * that the new version is worse, each route compared with its own reference
 * @param worse whether the score, over all routes or on one route, is high enough to roll
 * back at any time
 * @param probablyWorse whether the score is high enough, or the score against a clearly
 * worse version low enough, to roll back once a decision is due
 * @param goodScore natural logarithm of the e-value against the hypothesis that the new
 * version is clearly worse; 0 for a service of mostly streams, of which it is not asked
 * @param shownGood whether that score is high enough to complete the roll-out; true for a
 * service of mostly streams
 */
record VersionComparison(AnswerCounts tested, AnswerCounts reference, int hosts, double score, boolean worse,
		boolean probablyWorse, double goodScore, boolean shownGood) {

	/** Comparison before any answer was counted. */
	static final VersionComparison NONE = new VersionComparison(AnswerCounts.NONE, AnswerCounts.NONE, 0, 0, false,
			false, 0, false);

	/**
	 * Returns the number of the new version's answers in the comparison.
	 * @return number of answers
	 */
	long answers() {
		return this.tested.answers();
	}

}
