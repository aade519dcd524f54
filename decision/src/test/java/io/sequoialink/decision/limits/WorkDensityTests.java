package io.sequoialink.decision.limits;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class WorkDensityTests {

	private final WorkDensity density = new WorkDensity();

	WorkDensityTests() {
		for (int i = 0; i < 100; i++) {
			this.density.observe("r", 1000);
		}
	}

	// Long prompts beyond the size up to which worth grows are the first to give way.
	@ParameterizedTest
	@CsvSource({ "200, 0.45", "1000, 1.0", "4000, 1.29", "20000, 6.45" })
	void itGrowsWithTheSize(int tokens, double expected) {
		assertThat(this.density.of("r", tokens, 1)).isCloseTo(expected, within(0.01));
	}

	@Test
	void lessUrgentRoutesGiveWayFirst() {
		assertThat(this.density.of("r", 1000, 0)).isLessThan(this.density.of("r", 1000, 2));
		assertThat(this.density.of("r", 1000, 50)).isEqualTo(this.density.of("r", 1000, 4));
	}

	@Test
	void anUnknownRouteCountsAsUsual() {
		assertThat(this.density.of("new", 99999, 1)).isEqualTo(1.0);
	}

}
