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

	private static final ConfidenceCascade.Timing IMMEDIATE = ConfidenceCascade.Timing.immediate(3);

	private final ConfidenceCascade cascade = new ConfidenceCascade(ConfidenceCascade.Options.DEFAULT);

	@Test
	void acceptsHighConfidenceAndEscalatesLowConfidenceToTheLargestModel() {
		assertThat(this.cascade.evaluate("r", 0, 95, PRICES, IMMEDIATE, 0)).isEmpty();
		assertThat(this.cascade.evaluate("r", 0, 10, PRICES, IMMEDIATE, 0)).hasValue(2);
	}

	@Test
	void largestModelNeverEscalates() {
		assertThat(this.cascade.evaluate("r", 2, 0, PRICES, IMMEDIATE, 0)).isEmpty();
	}

	// Latency pressure increases the weight of prices, so that low-confidence answers
	// are accepted that would be escalated without it.
	@ParameterizedTest
	@CsvSource({ "45, 0, true", "45, 3, false", "0, 1, true", "0, 6, false" })
	void latencyPressureReducesEscalation(int confidence, double latencyPressure, boolean escalates) {
		assertThat(this.cascade.evaluate("r", 0, confidence, PRICES, IMMEDIATE, latencyPressure).isPresent())
			.isEqualTo(escalates);
	}

	@Test
	void skipsMiddleModelWhoseAnswersWereSeldomGood() {
		for (int i = 0; i < 50; i++) {
			this.cascade.recordEscalation("r", 0, 1, 10);
			this.cascade.recordEscalation("r", 0, 2, 95);
		}
		assertThat(this.cascade.evaluate("r", 0, 20, PRICES, IMMEDIATE, 0)).hasValue(2);
	}

	@Test
	void prefersMiddleModelWhoseAnswersWereMostlyGood() {
		for (int i = 0; i < 50; i++) {
			this.cascade.recordEscalation("r", 0, 1, 95);
			this.cascade.recordEscalation("r", 0, 2, 97);
		}
		assertThat(this.cascade.evaluate("r", 0, 20, PRICES, IMMEDIATE, 0)).hasValue(1);
	}

	@Test
	void skipsSmallestModelThatIsNeverAcceptedExceptForExploration() {
		for (int i = 0; i < 200; i++) {
			this.cascade.evaluate("r", 0, 0, PRICES, IMMEDIATE, 0);
		}
		int small = 0;
		for (int i = 0; i < 200; i++) {
			small += (this.cascade.start("r", IMMEDIATE, 0) == 0) ? 1 : 0;
		}
		assertThat(small).isEqualTo(10);
		assertThat(this.cascade.start("other", IMMEDIATE, 0)).isZero();
	}

	// Times as for a prompt of 60,000 tokens: the largest model is on time if it is asked
	// first, but late if it is asked after a smaller one.
	@Test
	void startsWithTheLargestModelIfItWouldBeLateAfterAnother() {
		ConfidenceCascade.Timing timing = new ConfidenceCascade.Timing(List.of(300.0, 800.0, 2200.0), 3000);
		assertThat(this.cascade.start("r", timing, 0)).isEqualTo(2);
		assertThat(this.cascade.start("r", timing, 2)).as("under latency pressure").isZero();
		ConfidenceCascade.Timing alwaysLate = new ConfidenceCascade.Timing(List.of(500.0, 1300.0, 4800.0), 3000);
		assertThat(this.cascade.start("r", alwaysLate, 0)).isZero();
	}

	@ParameterizedTest
	@CsvSource({ "55, false", "2, true" })
	void escalatesToALateModelOnlyAtVeryLowConfidence(int confidence, boolean escalates) {
		ConfidenceCascade.Timing late = new ConfidenceCascade.Timing(List.of(100.0, 800.0, 2500.0), 500);
		List<Double> free = List.of(0.0, 0.0, 0.0);
		assertThat(this.cascade.evaluate("r", 0, confidence, free, late, 0).isPresent()).isEqualTo(escalates);
	}

	// Simulates the users' engines, whose confidence follows the difference between the
	// strength of the model and the difficulty of the request.
	@Test
	void reachesNinetyPercentGoodAnswersBelowSeventyPercentOfTheLargestModelsPrice() {
		Random random = new Random(7);
		double[] strength = { 0.54, 0.64, 1.0 };
		double price = 0;
		int good = 0;
		for (int i = 0; i < 4000; i++) {
			double difficulty = random.nextDouble();
			int model = this.cascade.start("r", IMMEDIATE, 0);
			OptionalInt larger = OptionalInt.of(model);
			int from = -1;
			while (larger.isPresent()) {
				model = larger.getAsInt();
				price += PRICES.get(model);
				int confidence = confidence(strength[model] - difficulty, random);
				if (from >= 0) {
					this.cascade.recordEscalation("r", from, model, confidence);
				}
				from = model;
				larger = this.cascade.evaluate("r", model, confidence, PRICES, IMMEDIATE, 0);
			}
			good += (difficulty <= strength[model]) ? 1 : 0;
		}
		assertThat(good / 4000.0).isGreaterThan(0.9);
		assertThat(price / 4000 / PRICES.get(2)).isLessThan(0.7);
	}

	private static int confidence(double gap, Random random) {
		return (int) Math.max(0, Math.min(100, 50 + 130 * gap + 12 * random.nextGaussian()));
	}

}
