package io.sequoialink.decision.cascade;

import java.util.List;
import java.util.OptionalInt;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ConfidenceCascadeTests {

	private static final List<Double> PRICES = List.of(0.015, 0.12, 0.23);

	private static final ConfidenceCascade.Timing PROMPT = ConfidenceCascade.Timing.prompt(3);

	private final ConfidenceCascade cascade = new ConfidenceCascade(ConfidenceCascade.Options.DEFAULT);

	@Test
	void aConfidentAnswerIsAcceptedAndADoubtfulOneGivesWayToTheLargest() {
		assertThat(this.cascade.judge("r", 0, 95, PRICES, PROMPT, 0)).isEmpty();
		assertThat(this.cascade.judge("r", 0, 10, PRICES, PROMPT, 0)).hasValue(2);
	}

	@Test
	void theLargestModelHasNoOther() {
		assertThat(this.cascade.judge("r", 2, 0, PRICES, PROMPT, 0)).isEmpty();
	}

	// Under load, prices weigh more, until a doubtful answer is better than a late one.
	@ParameterizedTest
	@CsvSource({ "45, 0, true", "45, 3, false", "0, 1, true", "0, 6, false" })
	void strainMakesLessOfOptionalWork(int opinion, double strain, boolean dropped) {
		assertThat(this.cascade.judge("r", 0, opinion, PRICES, PROMPT, strain).isPresent()).isEqualTo(dropped);
	}

	@Test
	void aMiddleModelThatSeldomHelpsIsNotAskedOnceThatIsLearnt() {
		for (int i = 0; i < 50; i++) {
			this.cascade.escalated("r", 0, 1, 10);
			this.cascade.escalated("r", 0, 2, 95);
		}
		assertThat(this.cascade.judge("r", 0, 20, PRICES, PROMPT, 0)).hasValue(2);
	}

	@Test
	void aMiddleModelThatSufficesIsPreferredToADearerOne() {
		for (int i = 0; i < 50; i++) {
			this.cascade.escalated("r", 0, 1, 95);
			this.cascade.escalated("r", 0, 2, 97);
		}
		assertThat(this.cascade.judge("r", 0, 20, PRICES, PROMPT, 0)).hasValue(1);
	}

	@Test
	void aSmallestModelThatIsNeverAcceptedIsSkippedButTriedNowAndThen() {
		for (int i = 0; i < 200; i++) {
			this.cascade.judge("r", 0, 0, PRICES, PROMPT, 0);
		}
		int small = 0;
		for (int i = 0; i < 200; i++) {
			small += (this.cascade.start("r", PROMPT, 0) == 0) ? 1 : 0;
		}
		assertThat(small).isEqualTo(10);
		assertThat(this.cascade.start("other", PROMPT, 0)).isZero();
	}

	// A prompt of 60,000 tokens: the largest model alone is on time, after a smaller one
	// it
	// is late.
	@Test
	void theLargestModelIsAskedFirstIfItWouldBeLateAfterAnother() {
		ConfidenceCascade.Timing timing = new ConfidenceCascade.Timing(List.of(300.0, 800.0, 2200.0), 3000);
		assertThat(this.cascade.start("r", timing, 0)).isEqualTo(2);
		assertThat(this.cascade.start("r", timing, 2)).as("under strain").isZero();
		ConfidenceCascade.Timing hopeless = new ConfidenceCascade.Timing(List.of(500.0, 1300.0, 4800.0), 3000);
		assertThat(this.cascade.start("r", hopeless, 0)).isZero();
	}

	@ParameterizedTest
	@CsvSource({ "55, false", "2, true" })
	void aLateAnswerOfALargerModelIsAskedForOnlyIfTheSmallOneIsHopeless(int opinion, boolean dropped) {
		ConfidenceCascade.Timing late = new ConfidenceCascade.Timing(List.of(100.0, 800.0, 2500.0), 500);
		List<Double> free = List.of(0.0, 0.0, 0.0);
		assertThat(this.cascade.judge("r", 0, opinion, free, late, 0).isPresent()).isEqualTo(dropped);
	}

	// The pattern of the users' engines: opinions follow the gap between the model's
	// strength and the request's difficulty.
	@Test
	void mostGoodAnswersAreHadAtAFractionOfThePriceOfTheLargestModel() {
		Random random = new Random(7);
		double[] strength = { 0.54, 0.64, 1.0 };
		double price = 0;
		int good = 0;
		for (int i = 0; i < 4000; i++) {
			double difficulty = random.nextDouble();
			int model = this.cascade.start("r", PROMPT, 0);
			OptionalInt larger = OptionalInt.of(model);
			int from = -1;
			while (larger.isPresent()) {
				model = larger.getAsInt();
				price += PRICES.get(model);
				int opinion = opinion(strength[model] - difficulty, random);
				if (from >= 0) {
					this.cascade.escalated("r", from, model, opinion);
				}
				from = model;
				larger = this.cascade.judge("r", model, opinion, PRICES, PROMPT, 0);
			}
			good += (difficulty <= strength[model]) ? 1 : 0;
		}
		assertThat(good / 4000.0).isGreaterThan(0.9);
		assertThat(price / 4000 / PRICES.get(2)).isLessThan(0.7);
	}

	private static int opinion(double gap, Random random) {
		return (int) Math.max(0, Math.min(100, 50 + 130 * gap + 12 * random.nextGaussian()));
	}

}
