package io.sequoialink.decision.limits;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StrainTests {

	private static final long TENTH = 100_000_000L;

	private final Strain strain = new Strain();

	private long now;

	@Test
	void promptAnswersCauseNone() {
		observe(0.1, 200);
		assertThat(this.strain.value()).isZero();
	}

	@Test
	void lateAnswersRaiseItWithinSecondsAndPromptOnesLowerItAgain() {
		observe(1.0, 60);
		assertThat(this.strain.value()).isGreaterThan(1);
		observe(0.05, 200);
		assertThat(this.strain.value()).isZero();
	}

	@Test
	void itStaysWithinItsBoundsAndOneAnswerAfterAPauseSaysLittle() {
		observe(50, 1000);
		assertThat(this.strain.value()).isLessThanOrEqualTo(6);
		Strain paused = new Strain();
		paused.observe(2, TENTH);
		paused.observe(2, 1000 * TENTH);
		assertThat(paused.value()).isLessThan(1);
	}

	// On a fleet of 87 hosts the strain stayed at its height for the whole calm day
	// though
	// answers took a fifth of their time.
	@Test
	void itDoesNotOutlastABurst() {
		observe(1.0, 100);
		observe(0.2, 60);
		assertThat(this.strain.value()).isLessThan(0.3);
		observe(0.2, 100);
		assertThat(this.strain.value()).isZero();
	}

	private void observe(double share, int times) {
		for (int i = 0; i < times; i++) {
			this.now += TENTH;
			this.strain.observe(share, this.now);
		}
	}

}
