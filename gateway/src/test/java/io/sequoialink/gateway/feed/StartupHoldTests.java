package io.sequoialink.gateway.feed;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class StartupHoldTests {

	private long now;

	private final StartupHold hold = new StartupHold(() -> this.now);

	private void pass(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@Test
	void aHostThatKnowsNoOtherHoldsNothingBack() {
		this.hold.asked(0);
		assertThat(this.hold.holdsBack(3)).isFalse();
	}

	@Test
	void theAnswersAreAwaitedForAMoment() {
		assertThat(this.hold.holdsBack(3)).isTrue();
		this.hold.asked(2);
		this.hold.heard("a", 3);
		assertThat(this.hold.holdsBack(3)).isTrue();
		pass(StartupHold.ANSWER_MILLIS);
		assertThat(this.hold.holdsBack(3)).isFalse();
	}

	@Test
	void addressesThatCanNotBeReadAreAwaitedForAMoment() {
		assertThat(this.hold.holdsBack(3)).isTrue();
		pass(StartupHold.MAX_QUESTION_DELAY_MILLIS);
		assertThat(this.hold.holdsBack(3)).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "2, 0, true", "3, 0, false", "4, 0, false", "2, 2999, true", "2, 3000, false" })
	void anOlderVersionIsHeldBackForALimitedTime(long version, long afterMillis, boolean held) {
		this.hold.asked(1);
		this.hold.holdsBack(2);
		this.hold.heard("a", 3);
		pass(afterMillis);
		assertThat(this.hold.holdsBack(version)).isEqualTo(held);
	}

}
