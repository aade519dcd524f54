package io.sequoialink.gateway.place;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LatencyBaselineTests {

	@Test
	void onlyDurationsSeveralTimesTheTypicalOneAreSlow() {
		LatencyBaseline baseline = new LatencyBaseline();
		assertThat(baseline.slow("k", 1e9)).as("before anything is known").isFalse();
		for (int i = 0; i < 30; i++) {
			baseline.observe("k", 40 + i % 5);
		}
		assertThat(baseline.slow("k", 100)).isFalse();
		assertThat(baseline.slow("k", 300)).isTrue();
		assertThat(baseline.slow("other", 300)).isFalse();
	}

	// A few streams that were delayed by the prefill of a long prompt must not hide that
	// a version is eight times slower.
	@Test
	void aFewVeryLongDurationsHardlyChangeTheBaseline() {
		LatencyBaseline baseline = new LatencyBaseline();
		for (int i = 0; i < 60; i++) {
			baseline.observe("k", (i % 8 != 0) ? 25 : 400);
		}
		assertThat(baseline.slow("k", 200)).isTrue();
	}

	@Test
	void prefillSpeedIsLearntPerModelFromLongPrompts() {
		PrefillSpeed speed = new PrefillSpeed();
		for (int i = 0; i < 100; i++) {
			speed.observe("large", 10_000, 450);
			speed.observe("large", 10, 100);
		}
		assertThat(speed.estimateMillis("large", 20_000)).isBetween(880.0, 920.0);
		assertThat(speed.estimateMillis("small", 20_000)).isEqualTo(600.0);
	}

}
