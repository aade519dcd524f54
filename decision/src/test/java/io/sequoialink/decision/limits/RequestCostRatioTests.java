package io.sequoialink.decision.limits;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class RequestCostRatioTests {

	private final RequestCostRatio costRatio = new RequestCostRatio();

	RequestCostRatioTests() {
		for (int i = 0; i < 100; i++) {
			this.costRatio.observe("r", 1000);
		}
	}

	// Prompts above the size up to which the value grows have the highest ratio.
	@ParameterizedTest
	@CsvSource({ "200, 0.45", "1000, 1.0", "4000, 1.29", "20000, 6.45" })
	void growsWithTheSize(int tokens, double expected) {
		assertThat(this.costRatio.ratio("r", tokens, 1)).isCloseTo(expected, within(0.01));
	}

	@Test
	void lowerPriorityHasAHigherRatio() {
		assertThat(this.costRatio.ratio("r", 1000, 0)).isLessThan(this.costRatio.ratio("r", 1000, 2));
		assertThat(this.costRatio.ratio("r", 1000, 50)).isEqualTo(this.costRatio.ratio("r", 1000, 4));
	}

	@Test
	void unknownRouteHasRatioOne() {
		assertThat(this.costRatio.ratio("new", 99999, 1)).isEqualTo(1.0);
	}

}
