package io.sequoialink.decision.rollout;

import java.util.Collection;
import java.util.List;

/**
 * Sequential test of whether a version gives more bad answers than its reference. The
 * score may be checked after every answer: for a version as good as its reference, the
 * probability that the score ever reaches the threshold is at most the settings' alpha.
 * Stateless and thread-safe.
 */
public final class BadAnswerTest {

	/**
	 * Logarithm of the e-value above which a version counts as probably worse: evidence
	 * of 10 to 1.
	 */
	private static final double PROBABLY_WORSE_SCORE = Math.log(10);

	private final SequentialTests tests;

	private final double threshold;

	/**
	 * Creates a test.
	 * @param settings parameters of roll-outs; the test uses the error rate (alpha) and
	 * the failure share that is always accepted
	 */
	public BadAnswerTest(RolloutSettings settings) {
		this.tests = new SequentialTests(settings);
		this.threshold = Math.log(1 / settings.alpha());
	}

	/**
	 * Returns the natural logarithm of the e-value for the hypothesis that the version is
	 * worse than its reference. Each route is compared with its own reference.
	 * @param routes answers of the version and of the version that it would replace, by
	 * route
	 * @return the score; 0 or less if there is no evidence against the version
	 */
	public double score(Collection<RouteAnswerCounts> routes) {
		return this.tests.failures(routes.stream()
			.map((route) -> new SequentialTests.Stratum(statistics(route.target()), statistics(route.reference())))
			.toList());
	}

	/**
	 * Returns whether the evidence on one route is strong enough to stop the version at
	 * any time.
	 * @param tested answers of the version
	 * @param reference answers of the version that it would replace
	 * @return whether the score reaches the threshold ln(1 / alpha)
	 */
	public boolean isWorse(AnswerCounts tested, AnswerCounts reference) {
		return isWorse(score(List.of(new RouteAnswerCounts(tested, reference))));
	}

	/**
	 * Returns whether the version is more likely worse than not on one route.
	 * @param tested answers of the version
	 * @param reference answers of the version that it would replace
	 * @return whether the e-value is at least 10
	 */
	public boolean isProbablyWorse(AnswerCounts tested, AnswerCounts reference) {
		return isProbablyWorse(score(List.of(new RouteAnswerCounts(tested, reference))));
	}

	/**
	 * Returns whether the evidence is strong enough to stop the version at any time.
	 * @param score the score of the version's answers
	 * @return whether the score reaches the threshold ln(1 / alpha)
	 */
	public boolean isWorse(double score) {
		return score >= this.threshold;
	}

	/**
	 * Returns whether the version is more likely worse than not. The threshold is low, so
	 * use it to decide only when the decision is due, not after every answer.
	 * @param score the score of the version's answers
	 * @return whether the e-value is at least 10
	 */
	public boolean isProbablyWorse(double score) {
		return score >= PROBABLY_WORSE_SCORE;
	}

	private static AnswerStatistics statistics(AnswerCounts counts) {
		long[] values = new long[AnswerStatistics.SIZE];
		values[AnswerStatistics.STARTED] = counts.answers();
		values[AnswerStatistics.FAILED] = counts.bad();
		values[AnswerStatistics.SUCCEEDED] = counts.answers() - counts.bad();
		return AnswerStatistics.of(values);
	}

}
