package io.sequoialink.decision.rollout;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class CanaryScheduleTests {

	private final CanarySchedule schedule = new CanarySchedule(0.15, 24_000);

	@Test
	void shareNeverDecreasesAndStaysSmallInTheFirstHalf() {
		double before = 0;
		for (double progress = -0.1; progress < 1.2; progress += 0.01) {
			double share = this.schedule.share(progress);
			assertThat(share).isGreaterThanOrEqualTo(before).isLessThanOrEqualTo(1);
			if (progress <= 0.5) {
				assertThat(share).isLessThan(0.15);
			}
			before = share;
		}
	}

	@ParameterizedTest
	@CsvSource({ "0.92, 12, false, 0.92", "0.92, 11, false, 0.8993", "0.93, 3, false, 0.93", "0.97, 20, true, 0.8993",
			"0.97, 20, false, 0.97", "0.3, 0, false, 0.3" })
	void shareStaysSmallWithFewOrProbablyWorseAnswers(double progress, int answers, boolean probablyWorse,
			double allowed) {
		assertThat(this.schedule.limitProgress(progress, answers, probablyWorse)).isCloseTo(allowed, within(0.0001));
		assertThat(this.schedule.share(0.8993)).isLessThan(0.05);
	}

	@Test
	void allSessionsMoveBeforeTheOldVersionMayBeStopped() {
		assertThat(this.schedule.share(0.93)).isEqualTo(1);
		assertThat(this.schedule.mayComplete(0.96)).isFalse();
		assertThat(this.schedule.mayComplete(0.967)).isTrue();
	}

	// The new version also receives all requests between its completion and the
	// deadline.
	@ParameterizedTest
	@CsvSource({ "0.02, 1", "0.05, 1", "0.0975, 1", "0.15, 1", "0.3, 1", "0.45, 1", "0.0975, 1.4", "0.15, 1.4" })
	void exposureStaysWithinThePermittedShareAlsoIfTrafficGrowsInTheLastPart(double permitted, double lastPart) {
		CanarySchedule schedule = new CanarySchedule(permitted, 24_000);
		double exposed = 0;
		double all = 0;
		for (double progress = 0; progress < 1; progress += 0.0001) {
			double requests = (progress > 0.9) ? lastPart : 1;
			exposed += schedule.share(progress) * requests;
			all += requests;
		}
		assertThat(exposed / all).isLessThanOrEqualTo(permitted);
		assertThat(schedule.mayComplete(0.997)).isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "0.0975, 22000", "0.15, 22000", "0.15, 15000", "0.0975, 60000" })
	void completionIsAllowedEarlyEnoughToBeWrittenBeforeTheDeadline(double permitted, long durationMillis) {
		CanarySchedule schedule = new CanarySchedule(permitted, durationMillis);
		assertThat(schedule.mayComplete(1 - 700.0 / durationMillis)).isTrue();
	}

}
