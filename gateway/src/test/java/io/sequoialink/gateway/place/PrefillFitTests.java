package io.sequoialink.gateway.place;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Estimates of the time until the first token, from few observations of mixed prompts.
 */
class PrefillFitTests {

	// Guards against long prompts that seem late with the larger models, because the
	// fixed delay of short prompts counts for each of their tokens: the host then accepts
	// answers of models that are too small.
	@ParameterizedTest
	@CsvSource({ "0.003, 60", "0.01, 60", "0.03, 60", "0.03, 150", "0.06, 0" })
	void aLongPromptIsEstimatedFromShortOnes(double millisPerToken, double fixedMillis) {
		PrefillFit fit = new PrefillFit();
		SplittableRandom random = new SplittableRandom(5);
		for (int i = 0; i < 40; i++) {
			int tokens = 500 + random.nextInt((i % 5 == 0) ? 15_000 : 2000);
			fit.observe(tokens, (fixedMillis + millisPerToken * tokens) * (0.9 + 0.2 * random.nextDouble()));
		}
		double expected = fixedMillis + millisPerToken * 40_000;
		assertThat(fit.estimateMillis(40_000)).isCloseTo(expected, within(0.35 * expected + 60));
	}

	// Guards against an estimate that falls with the length of the prompt, or is
	// negative.
	@Test
	void aLongerPromptNeverCountsAsFaster() {
		PrefillFit fit = new PrefillFit();
		for (int i = 0; i < 100; i++) {
			fit.observe(500, 400);
			fit.observe(12_000, 100);
		}
		assertThat(fit.estimateMillis(0)).isNotNegative();
		assertThat(fit.estimateMillis(20_000)).isGreaterThanOrEqualTo(fit.estimateMillis(500));
	}

	// Guards against one request that waited for seconds making all long prompts late.
	@Test
	void oneWaitingRequestChangesLittle() {
		PrefillFit fit = new PrefillFit();
		for (int i = 0; i < 30; i++) {
			fit.observe(500 + 300 * i, 60 + 0.02 * (500 + 300 * i));
		}
		double before = fit.estimateMillis(20_000);
		fit.observe(9000, 15_000);
		assertThat(fit.estimateMillis(20_000)).isLessThan(1.5 * before);
	}

}
