package io.sequoialink.decision.rollout;

import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class BadAnswerTestTests {

	private final BadAnswerTest test = new BadAnswerTest(RolloutSettings.defaults());

	@Test
	void highFailureShareIsWorse() {
		assertThat(this.test.isWorse(new AnswerCounts(6, 3), new AnswerCounts(200, 1))).isTrue();
		assertThat(this.test.isWorse(new AnswerCounts(6, 0), new AnswerCounts(200, 1))).isFalse();
	}

	@Test
	void withoutReferenceNoVersionIsWorse() {
		assertThat(this.test.isWorse(new AnswerCounts(10, 5), AnswerCounts.NONE)).isFalse();
	}

	// Parameters: share of bad answers of the reference, the same of the version, and
	// the maximum number of answers until the version is found worse.
	@ParameterizedTest
	@CsvSource({ "0.004, 0.33, 40", "0.004, 0.5, 25", "0.14, 0.5, 80" })
	void badVersionIsFoundAfterFewAnswers(double referenceShare, double share, int bound) {
		int slowest = 0;
		for (int seed = 0; seed < 50; seed++) {
			slowest = Math.max(slowest, answersUntilWorse(referenceShare, share, new Random(seed), 400));
		}
		assertThat(slowest).isLessThanOrEqualTo(bound);
	}

	@ParameterizedTest
	@CsvSource({ "0.004", "0.14" })
	void versionAsGoodAsItsReferenceIsRarelyWorse(double referenceShare) {
		int stopped = 0;
		for (int seed = 0; seed < 300; seed++) {
			stopped += (answersUntilWorse(referenceShare, referenceShare, new Random(seed), 200) < 200) ? 1 : 0;
		}
		assertThat(stopped).isLessThanOrEqualTo(6);
	}

	@ParameterizedTest
	@CsvSource({ "0.004, 12", "0.03, 12", "0.14, 12", "0.14, 40" })
	void versionAsGoodAsItsReferenceIsRarelyProbablyWorse(double referenceShare, int answers) {
		int wrong = 0;
		for (int seed = 0; seed < 300; seed++) {
			Random random = new Random(seed);
			wrong += this.test.isProbablyWorse(draw(answers, referenceShare, random), draw(280, referenceShare, random))
					? 1 : 0;
		}
		assertThat(wrong).isLessThanOrEqualTo(3);
	}

	// An earlier rule compared the plain shares of bad answers and held versions back
	// for one or two bad answers of a few. Clear cases must still be found, these must
	// not.
	@ParameterizedTest
	@CsvSource({ "20, 8, 200, 10, true", "12, 4, 200, 10, true", "8, 2, 200, 10, false", "20, 3, 200, 10, false" })
	void onlyManyBadAnswersAreProbablyWorse(int answers, int bad, int references, int badReferences,
			boolean probablyWorse) {
		assertThat(
				this.test.isProbablyWorse(new AnswerCounts(answers, bad), new AnswerCounts(references, badReferences)))
			.isEqualTo(probablyWorse);
	}

	@ParameterizedTest
	@CsvSource({ "12, 0.4, 0.85", "12, 0.6, 0.99" })
	void badVersionWithFewAnswersIsMostlyProbablyWorse(int answers, double share, double minShare) {
		int right = 0;
		for (int seed = 0; seed < 300; seed++) {
			Random random = new Random(seed);
			right += this.test.isProbablyWorse(draw(answers, share, random), draw(280, 0.02, random)) ? 1 : 0;
		}
		assertThat(right / 300.0).isGreaterThanOrEqualTo(minShare);
	}

	private static AnswerCounts draw(int answers, double badShare, Random random) {
		AnswerCounts drawn = AnswerCounts.NONE;
		for (int i = 0; i < answers; i++) {
			drawn = drawn.with(random.nextDouble() < badShare);
		}
		return drawn;
	}

	private int answersUntilWorse(double referenceShare, double share, Random random, int maxAnswers) {
		AnswerCounts reference = AnswerCounts.NONE;
		AnswerCounts tested = AnswerCounts.NONE;
		for (int i = 0; i < 100; i++) {
			reference = reference.with(random.nextDouble() < referenceShare);
		}
		for (int i = 0; i < maxAnswers; i++) {
			for (int j = 0; j < 6; j++) {
				reference = reference.with(random.nextDouble() < referenceShare);
			}
			tested = tested.with(random.nextDouble() < share);
			if (this.test.isWorse(tested, reference)) {
				return i + 1;
			}
		}
		return maxAnswers;
	}

}
