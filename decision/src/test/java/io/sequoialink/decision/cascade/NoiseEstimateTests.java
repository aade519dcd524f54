package io.sequoialink.decision.cascade;

import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class NoiseEstimateTests {

	@ParameterizedTest
	@CsvSource({ "0.03, 0.9", "0.05, 0.9", "0.08, 0.7", "0.1, 0.95" })
	void estimatesNoiseAndShareOfGoodAnswers(double noise, double good) {
		SplittableRandom random = new SplittableRandom(4);
		NoiseEstimate estimate = new NoiseEstimate(0.5, 0.07);
		RatingModel ratings = new RatingModel(0.5, estimate);
		double goodShare = 0.5;
		for (int i = 0; i < 40_000; i++) {
			double score = random.nextDouble() / 2 + ((random.nextDouble() < good) ? 0.5 : 0);
			double rating = Math.max(0, Math.min(1, score + noise * random.nextGaussian()));
			estimate.add(rating);
			goodShare += (ratings.probability(rating, goodShare) - goodShare) / Math.min(i + 1, 10_000);
		}
		assertThat(estimate.standardDeviation()).isCloseTo(noise, within(0.012));
		assertThat(goodShare).isCloseTo(good, within(0.012));
	}

}
