package io.sequoialink.decision.limits;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class WorkDensityTests {

	private final WorkDensity costRatio = new WorkDensity();

	WorkDensityTests() {
		for (int i = 0; i < 100; i++) {
			this.costRatio.observe("r", 1000);
		}
	}

	// Prompts above the size up to which the value grows have the highest ratio.
	@ParameterizedTest
	@CsvSource({ "200, 0.45", "1000, 1.0", "4000, 1.29", "20000, 6.45" })
	void growsWithTheSize(int tokens, double expected) {
		assertThat(this.costRatio.of("r", tokens, 1)).isCloseTo(expected, within(0.01));
	}

	@Test
	void lowerPriorityHasAHigherRatio() {
		assertThat(this.costRatio.of("r", 1000, 0)).isLessThan(this.costRatio.of("r", 1000, 2));
		assertThat(this.costRatio.of("r", 1000, 50)).isEqualTo(this.costRatio.of("r", 1000, 4));
	}

	@Test
	void unknownRouteHasRatioOne() {
		assertThat(this.costRatio.of("new", 99999, 1)).isEqualTo(1.0);
	}

}
