package io.sequoialink.decision.rollout;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class CanaryScheduleTests {

	private final CanarySchedule schedule = new CanarySchedule(0.15);

	@Test
	void theShareNeverFallsAndStaysSmallInTheFirstHalf() {
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
	@CsvSource({ "0.55, 12, 0, 0.55", "0.55, 11, 0, 0.52", "0.65, 3, 0, 0.65", "0.9, 20, 8, 0.52", "0.9, 20, 3, 0.9",
			"0.3, 0, 0, 0.3" })
	void theShareStaysSmallWhileTooLittleIsKnownOrTooMuchIsBad(double progress, int answers, int bad, double allowed) {
		AnswerCounts reference = new AnswerCounts(200, 10);
		assertThat(this.schedule.allowed(progress, new AnswerCounts(answers, bad), reference)).isEqualTo(allowed);
	}

	@Test
	void allSessionsHaveMovedWellBeforeTheOldVersionIsStopped() {
		assertThat(this.schedule.share(0.84)).isEqualTo(1);
		assertThat(this.schedule.mayComplete(0.84)).isFalse();
		assertThat(this.schedule.mayComplete(0.95)).isTrue();
	}

	@Test
	void aBadVersionThatIsStoppedAtTheEndOfTheRiseKeepsTheExposure() {
		double exposed = 0;
		for (double progress = 0; progress < 0.6; progress += 0.001) {
			exposed += this.schedule.share(progress) * 0.001;
		}
		assertThat(exposed).isLessThan(0.15);
	}

}
