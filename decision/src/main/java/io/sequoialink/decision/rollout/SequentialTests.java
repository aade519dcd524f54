package io.sequoialink.decision.rollout;

import java.util.Optional;

/**
 * Logarithms of e-values for "this version is worse than its reference". Each is a
 * mixture over fixed alternatives, so it depends on the counts alone and may be looked at
 * after every answer: by Ville's inequality, the chance that it ever reaches ln(1/a) for
 * a version that is as good as its reference is at most a. Stateless and thread-safe.
 */
final class SequentialTests {

	private static final double[] FAILURE_ALTERNATIVES = { 0.08, 0.25, 0.6 };

	private static final double[] BET_SHARES = { 0.1, 0.2, 0.4, 0.7 };

	private static final double[] ODDS_OF_SLOW = { 2, 4, 9 };

	private static final double SLOW_QUANTILE = 0.9;

	/** Buckets above the reference's quantile, each wider by sqrt(2). */
	private static final int SLOW_BUCKETS = 2;

	/** Logarithm of the weight of latency and missing ratings beside the other tests. */
	private static final double SECONDARY_WEIGHT = Math.log(0.05);

	private static final double MIN_SLOW_SHARE = 0.02;

	private final RolloutSettings settings;

	SequentialTests(RolloutSettings settings) {
		this.settings = settings;
	}

	// Returns the test with the highest e-value.
	Finding worst(Evidence tested, Evidence reference) {
		Finding failures = new Finding("failures", failures(tested, reference));
		Finding ratings = new Finding("ratings", ratings(tested, reference));
		Finding latency = new Finding("latency", latency(tested, reference) + SECONDARY_WEIGHT);
		Finding unrated = new Finding("missing ratings", unrated(tested, reference) + SECONDARY_WEIGHT);
		return Optional.of(failures)
			.map((finding) -> finding.orWorse(ratings))
			.map((finding) -> finding.orWorse(latency))
			.map((finding) -> finding.orWorse(unrated))
			.orElseThrow();
	}

	// Tests the failure share; 0 stands for any score that speaks for the version.
	// Attempts without an end count as whole until they end, in
	// the order of their start, so that fast failures weigh no more than slow successes.
	double failures(Evidence tested, Evidence reference) {
		double expected = upperShare(reference.failed(), reference.ended(), this.settings.minFailureShare());
		long trials = Math.max(tested.started(), tested.ended());
		if (tested.failed() <= expected * trials) {
			return 0;
		}
		double[] scores = new double[FAILURE_ALTERNATIVES.length];
		for (int i = 0; i < scores.length; i++) {
			double alternative = expected + (1 - expected) * FAILURE_ALTERNATIVES[i];
			scores[i] = logLikelihoodRatio(tested.failed(), trials, expected, alternative);
		}
		return logMean(scores);
	}

	// Tests the mean rating by betting against it; needs no assumption on its shape.
	double ratings(Evidence tested, Evidence reference) {
		long n = reference.rated();
		if (n < 2) {
			return 0;
		}
		double error = reference.ratingDeviation() / Math.sqrt(n);
		double expected = reference.meanRating() - this.settings.ratingTolerance() - error;
		if (tested.rated() == 0 || tested.meanRating() >= expected) {
			return 0;
		}
		double[] scores = new double[BET_SHARES.length];
		for (int i = 0; i < scores.length; i++) {
			scores[i] = betting(tested, expected, BET_SHARES[i] / (1 - Math.min(0.98, expected)));
		}
		return logMean(scores);
	}

	private static double betting(Evidence tested, double expected, double bet) {
		double sum = 0;
		for (int i = 0; i < Evidence.RATING_BUCKETS; i++) {
			long count = tested.ratings(i);
			if (count > 0) {
				sum += count * Math.log(Math.max(1e-9, 1 + bet * (expected - Evidence.ratingOf(i))));
			}
		}
		return sum;
	}

	// Tests the share of answers far slower than the reference's slow tenth.
	double latency(Evidence tested, Evidence reference) {
		int bound = reference.latencyQuantile(SLOW_QUANTILE) + SLOW_BUCKETS;
		double expected = upperShare(reference.slowerThan(bound), reference.slowerThan(0), MIN_SLOW_SHARE);
		return oddsTest(tested.slowerThan(bound), tested.slowerThan(0), expected);
	}

	// Tests the share of whole answers that were never rated.
	double unrated(Evidence tested, Evidence reference) {
		double expected = upperShare(reference.unrated(), reference.unrated() + reference.rated(), MIN_SLOW_SHARE);
		return oddsTest(tested.unrated(), tested.unrated() + tested.rated(), expected);
	}

	private static double oddsTest(long hits, long trials, double expected) {
		if (hits <= expected * trials) {
			return 0;
		}
		double[] scores = new double[ODDS_OF_SLOW.length];
		for (int i = 0; i < scores.length; i++) {
			double odds = ODDS_OF_SLOW[i] * expected / (1 - expected);
			scores[i] = logLikelihoodRatio(hits, trials, expected, odds / (1 + odds));
		}
		return logMean(scores);
	}

	private static double upperShare(long hits, long trials, double floor) {
		double share = (hits + 0.5) / (trials + 1.0);
		double upper = share + Math.sqrt(share * (1 - share) / (trials + 1.0));
		return Math.min(0.9, Math.max(floor, upper));
	}

	private static double logLikelihoodRatio(long hits, long trials, double expected, double alternative) {
		return hits * Math.log(alternative / expected) + (trials - hits) * Math.log((1 - alternative) / (1 - expected));
	}

	private static double logMean(double[] scores) {
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
	 * The result of one test. Immutable and thread-safe.
	 *
	 * @param test what was tested
	 * @param score logarithm of the e-value
	 */
	record Finding(String test, double score) {

		Finding orWorse(Finding other) {
			return (other.score > this.score) ? other : this;
		}

	}

}
