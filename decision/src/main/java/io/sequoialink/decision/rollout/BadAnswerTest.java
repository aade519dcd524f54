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

	/**
	 * Logarithm of the likelihood ratio from which a version counts as good, or as
	 * clearly worse: evidence of 20 to 1.
	 */
	private static final double GOOD_SCORE = Math.log(20);

	/**
	 * Excess of the share of bad answers that a version found good does not have, as a
	 * fraction of the distance from the reference's share to 1.
	 */
	private static final double EXCLUDED_EXCESS = 0.1;

	/** Smallest share of bad answers that is assumed of any version. */
	private static final double MIN_REFERENCE_SHARE = 0.004;

	/** Weight of that assumption, in answers of the reference. */
	private static final double ASSUMED_ANSWERS = 5;

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
		return this.tests.failures(strata(routes));
	}

	private static List<SequentialTests.Stratum> strata(Collection<RouteAnswerCounts> routes) {
		return routes.stream()
			.map((route) -> new SequentialTests.Stratum(statistics(route.target()), statistics(route.reference())))
			.toList();
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

	/**
	 * Returns the natural logarithm of the e-value against the hypothesis that the
	 * version is clearly worse: that its share of bad answers exceeds the reference's on
	 * all routes by {@link #EXCLUDED_EXCESS}.
	 * @param routes answers of the version and of the version that it would replace, by
	 * route
	 * @return the score; it grows with good answers and falls with bad ones, least where
	 * the reference fails often too
	 */
	public double goodScore(Collection<RouteAnswerCounts> routes) {
		return routes.stream().mapToDouble(BadAnswerTest::goodScore).sum();
	}

	private static double goodScore(RouteAnswerCounts route) {
		AnswerCounts reference = route.reference();
		double usual = (reference.bad() + MIN_REFERENCE_SHARE * ASSUMED_ANSWERS)
				/ (reference.answers() + ASSUMED_ANSWERS);
		double expected = Math.max(MIN_REFERENCE_SHARE, usual);
		double excluded = expected + (1 - expected) * EXCLUDED_EXCESS;
		long good = route.target().answers() - route.target().bad();
		return -good * Math.log(1 - EXCLUDED_EXCESS) + route.target().bad() * Math.log(expected / excluded);
	}

	/**
	 * Returns whether the evidence that the version is not clearly worse is strong enough
	 * to complete its roll-out, which cannot be undone.
	 * @param goodScore the score against the hypothesis that the version is clearly worse
	 * @return whether the evidence is at least 20 to 1
	 */
	public boolean isGood(double goodScore) {
		return goodScore >= GOOD_SCORE;
	}

	/**
	 * Returns whether the evidence that the version is clearly worse is as strong. The
	 * reference's share of bad answers is taken as high as its answers leave it possible,
	 * so with few of them a bad answer says little; {@link #goodScore} takes it as low.
	 * @param routes answers of the version and of the version that it would replace, by
	 * route
	 * @return whether the evidence for that hypothesis is at least 20 to 1
	 */
	public boolean isClearlyWorse(Collection<RouteAnswerCounts> routes) {
		return this.tests.failureScore(strata(routes), EXCLUDED_EXCESS) >= GOOD_SCORE;
	}

	private static AnswerStatistics statistics(AnswerCounts counts) {
		long[] values = new long[AnswerStatistics.SIZE];
		values[AnswerStatistics.STARTED] = counts.answers();
		values[AnswerStatistics.FAILED] = counts.bad();
		values[AnswerStatistics.SUCCEEDED] = counts.answers() - counts.bad();
		return AnswerStatistics.of(values);
	}

}
