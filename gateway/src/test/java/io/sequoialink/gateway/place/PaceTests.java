package io.sequoialink.gateway.place;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PaceTests {

	@Test
	void onlyWhatTakesSeveralTimesTheUsualIsSlow() {
		UsualPace pace = new UsualPace();
		assertThat(pace.slow("k", 1e9)).as("before anything is known").isFalse();
		for (int i = 0; i < 30; i++) {
			pace.observe("k", 40 + i % 5);
		}
		assertThat(pace.slow("k", 100)).isFalse();
		assertThat(pace.slow("k", 300)).isTrue();
		assertThat(pace.slow("other", 300)).isFalse();
	}

	// A few streams that fell into the reading of a long prompt must not hide a version
	// that
	// is eight times slower.
	@Test
	void aFewVeryLongTimesHardlyMoveTheUsual() {
		UsualPace pace = new UsualPace();
		for (int i = 0; i < 60; i++) {
			pace.observe("k", (i % 8 != 0) ? 25 : 400);
		}
		assertThat(pace.slow("k", 200)).isTrue();
	}

	@Test
	void readingSpeedsAreLearntByModelFromLongPrompts() {
		ReadingSpeed speed = new ReadingSpeed();
		for (int i = 0; i < 100; i++) {
			speed.observe("large", 10_000, 450);
			speed.observe("large", 10, 100);
		}
		assertThat(speed.millis("large", 20_000)).isBetween(880.0, 920.0);
		assertThat(speed.millis("small", 20_000)).isEqualTo(600.0);
	}

}
