package io.sequoialink.decision.cascade;

import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class NoiseEstimateTests {

	@ParameterizedTest
	@CsvSource({ "0.03, 0.9", "0.05, 0.9", "0.08, 0.7", "0.1, 0.95" })
	void findsTheNoiseAndTheShareOfGoodAnswers(double noise, double good) {
		SplittableRandom random = new SplittableRandom(4);
		NoiseEstimate estimate = new NoiseEstimate(0.5, 0.07);
		RatingModel ratings = new RatingModel(0.5, estimate);
		double learnt = 0.5;
		for (int i = 0; i < 40_000; i++) {
			double score = random.nextDouble() / 2 + ((random.nextDouble() < good) ? 0.5 : 0);
			double rating = Math.max(0, Math.min(1, score + noise * random.nextGaussian()));
			estimate.add(rating);
			learnt += (ratings.chance(rating, learnt) - learnt) / Math.min(i + 1, 10_000);
		}
		assertThat(estimate.noise()).isCloseTo(noise, within(0.012));
		assertThat(learnt).isCloseTo(good, within(0.012));
	}

}
