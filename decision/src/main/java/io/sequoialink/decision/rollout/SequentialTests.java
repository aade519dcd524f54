package io.sequoialink.decision.rollout;

import java.util.List;
import java.util.Optional;

/**
 * Computes the natural logarithms of e-values (scores) for the hypothesis that a version
 * is worse than its reference. Each e-value is a mixture over fixed alternatives, so it
 * depends on the counts alone and may be checked after every answer: by Ville's
 * inequality, for a version as good as its reference the probability that the score ever
 * reaches ln(1/a) is at most a. Stateless and thread-safe.
 */
final class SequentialTests {

	/**
	 * Alternative failure shares, as fractions of the distance from the expected share to
	 * 1.
	 */
	private static final double[] FAILURE_ALTERNATIVES = { 0.08, 0.25, 0.6 };

	/**
	 * Stakes of the betting e-values that {@link #ratings} averages, as fractions of the
	 * largest possible stake. Each e-value is the capital of a bettor who stakes on every
	 * rating being below the expected mean.
	 */
	private static final double[] BET_SHARES = { 0.1, 0.2, 0.4, 0.7 };

	/**
	 * Alternative shares of slow or unrated answers, as ratios of their odds to the odds
	 * of the expected share.
	 */
	private static final double[] ODDS_RATIOS = { 2, 4, 9 };

	private static final double SLOW_QUANTILE = 0.9;

	/**
	 * Number of latency buckets above the reference's quantile at which an answer counts
	 * as slow; the bounds grow by sqrt(2).
	 */
	private static final int SLOW_BUCKETS = 2;

	/**
	 * Logarithm of the weight of the latency and missing-rating tests relative to the
	 * other tests.
	 */
	private static final double SECONDARY_LOG_WEIGHT = Math.log(0.05);

	/** Minimum share of slow or unrated answers that is expected of any version. */
	private static final double MIN_EXPECTED_SHARE = 0.02;

	private final RolloutSettings settings;

	SequentialTests(RolloutSettings settings) {
		this.settings = settings;
	}

	// Runs all tests and returns the result with the highest score.
	TestResult highestScore(AnswerStatistics tested, AnswerStatistics reference) {
		TestResult failures = new TestResult("failures", failures(tested, reference));
		TestResult ratings = new TestResult("ratings", ratings(tested, reference));
		TestResult latency = new TestResult("latency", latency(tested, reference) + SECONDARY_LOG_WEIGHT);
		TestResult unrated = new TestResult("missing ratings", unrated(tested, reference) + SECONDARY_LOG_WEIGHT);
		return Optional.of(failures)
			.map((result) -> result.max(ratings))
			.map((result) -> result.max(latency))
			.map((result) -> result.max(unrated))
			.orElseThrow();
	}

	// Tests the failure share; returns 0 if it is no higher than expected. Attempts in
	// flight count as successes until they end, in the order of their start, so that fast
	// failures count no more than slow successes.
	double failures(AnswerStatistics tested, AnswerStatistics reference) {
		return failures(List.of(new Stratum(tested, reference)));
	}

	// Each stratum is compared with its own reference, so that one in which most answers
	// of any version fail hides nothing in the others.
	double failures(List<Stratum> strata) {
		double failed = 0;
		double expected = 0;
		for (Stratum stratum : strata) {
			failed += stratum.tested().failed();
			expected += expectedShare(stratum) * trials(stratum);
		}
		if (failed <= expected) {
			return 0;
		}
		double[] scores = new double[FAILURE_ALTERNATIVES.length];
		for (int i = 0; i < scores.length; i++) {
			scores[i] = failureScore(strata, FAILURE_ALTERNATIVES[i]);
		}
		return logOfMean(scores);
	}

	// Log-likelihood ratio of a failure share that exceeds the expected one by a fraction
	// of the distance from it to 1, in all strata.
	double failureScore(List<Stratum> strata, double excess) {
		return strata.stream().mapToDouble((stratum) -> failureScore(stratum, excess)).sum();
	}

	private double failureScore(Stratum stratum, double excess) {
		double expected = expectedShare(stratum);
		double alternative = expected + (1 - expected) * excess;
		return logLikelihoodRatio(stratum.tested().failed(), trials(stratum), expected, alternative);
	}

	private double expectedShare(Stratum stratum) {
		return upperShare(stratum.reference().failed(), stratum.reference().ended(), this.settings.minFailureShare());
	}

	private static long trials(Stratum stratum) {
		return Math.max(stratum.tested().started(), stratum.tested().ended());
	}

	// Tests the mean rating by a betting e-value, which assumes no distribution of the
	// ratings.
	double ratings(AnswerStatistics tested, AnswerStatistics reference) {
		long n = reference.rated();
		if (n < 2) {
			return 0;
		}
		double error = reference.ratingStandardDeviation() / Math.sqrt(n);
		double expected = reference.meanRating() - this.settings.ratingTolerance() - error;
		if (tested.rated() == 0 || tested.meanRating() >= expected) {
			return 0;
		}
		double[] scores = new double[BET_SHARES.length];
		for (int i = 0; i < scores.length; i++) {
			scores[i] = bettingScore(tested, expected, BET_SHARES[i] / (1 - Math.min(0.98, expected)));
		}
		return logOfMean(scores);
	}

	private static double bettingScore(AnswerStatistics tested, double expected, double bet) {
		double sum = 0;
		for (int i = 0; i < AnswerStatistics.RATING_BUCKETS; i++) {
			long count = tested.ratingCount(i);
			if (count > 0) {
				sum += count * Math.log(Math.max(1e-9, 1 + bet * (expected - AnswerStatistics.bucketRating(i))));
			}
		}
		return sum;
	}

	// Tests the share of answers that are much slower than the reference's 0.9
	// quantile.
	double latency(AnswerStatistics tested, AnswerStatistics reference) {
		int bound = reference.latencyQuantile(SLOW_QUANTILE) + SLOW_BUCKETS;
		double expected = upperShare(reference.atLeastAsSlowAs(bound), reference.atLeastAsSlowAs(0),
				MIN_EXPECTED_SHARE);
		return shareScore(tested.atLeastAsSlowAs(bound), tested.atLeastAsSlowAs(0), expected);
	}

	// Tests the share of complete answers that were never rated.
	double unrated(AnswerStatistics tested, AnswerStatistics reference) {
		double expected = upperShare(reference.unrated(), reference.unrated() + reference.rated(), MIN_EXPECTED_SHARE);
		return shareScore(tested.unrated(), tested.unrated() + tested.rated(), expected);
	}

	private static double shareScore(long hits, long trials, double expected) {
		if (hits <= expected * trials) {
			return 0;
		}
		double[] scores = new double[ODDS_RATIOS.length];
		for (int i = 0; i < scores.length; i++) {
			double odds = ODDS_RATIOS[i] * expected / (1 - expected);
			scores[i] = logLikelihoodRatio(hits, trials, expected, odds / (1 + odds));
		}
		return logOfMean(scores);
	}

	private static double upperShare(long hits, long trials, double floor) {
		double share = (hits + 0.5) / (trials + 1.0);
		double upper = share + Math.sqrt(share * (1 - share) / (trials + 1.0));
		return Math.min(0.9, Math.max(floor, upper));
	}

	private static double logLikelihoodRatio(long hits, long trials, double expected, double alternative) {
		return hits * Math.log(alternative / expected) + (trials - hits) * Math.log((1 - alternative) / (1 - expected));
	}

	private static double logOfMean(double[] scores) {
		double highest = Double.NEGATIVE_INFINITY;
		for (double score : scores) {
			highest = Math.max(highest, score);
		}
		double sum = 0;
		for (double score : scores) {
			sum += Math.exp(score - highest);
		}
		return highest + Math.log(sum / scores.length);
	}

	/**
	 * Answers that are compared with a reference of their own. Immutable and thread-safe.
	 *
	 * @param tested answers of the tested version
	 * @param reference answers of the reference to the same kind of requests
	 */
	record Stratum(AnswerStatistics tested, AnswerStatistics reference) {
	}

	/**
	 * Result of one test. Immutable and thread-safe.
	 *
	 * @param test name of the tested quantity, for explanations to people
	 * @param score natural logarithm of the e-value
	 */
	record TestResult(String test, double score) {

		TestResult max(TestResult other) {
			return (other.score > this.score) ? other : this;
		}

	}

}
