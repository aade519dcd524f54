package io.sequoialink.decision.limits;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LatencyPressureTests {

	private static final long TENTH_OF_A_SECOND = 100_000_000L;

	private final LatencyPressure pressure = new LatencyPressure();

	private long now;

	@Test
	void fastAnswersCauseNoPressure() {
		observe(0.1, 200);
		assertThat(this.pressure.value()).isZero();
	}

	@Test
	void slowAnswersRaiseThePressureAndFastOnesLowerIt() {
		observe(1.0, 60);
		assertThat(this.pressure.value()).isGreaterThan(1);
		observe(0.05, 200);
		assertThat(this.pressure.value()).isZero();
	}

	@Test
	void staysWithinBoundsAndOneAnswerAfterAnIdleTimeHasLittleWeight() {
		observe(50, 1000);
		assertThat(this.pressure.value()).isLessThanOrEqualTo(6);
		LatencyPressure withIdleTime = new LatencyPressure();
		withIdleTime.observe(2, TENTH_OF_A_SECOND);
		withIdleTime.observe(2, 1000 * TENTH_OF_A_SECOND);
		assertThat(withIdleTime.value()).isLessThan(1);
	}

	// Guards against a pressure that stays at its maximum after a burst: on a fleet of 87
	// hosts it did so for a whole day of low load, though answers took only a fifth of
	// the permitted time.
	@Test
	void pressureEndsSoonAfterABurst() {
		observe(1.0, 100);
		observe(0.2, 60);
		assertThat(this.pressure.value()).isLessThan(0.3);
		observe(0.2, 100);
		assertThat(this.pressure.value()).isZero();
	}

	private void observe(double share, int times) {
		for (int i = 0; i < times; i++) {
			this.now += TENTH_OF_A_SECOND;
			this.pressure.observe(share, this.now);
		}
	}

}
