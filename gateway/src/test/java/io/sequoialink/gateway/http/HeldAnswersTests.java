package io.sequoialink.gateway.http;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HeldAnswersTests {

	private static final int PIECE = 1 << 20;

	@Test
	void allAnswersTogetherHaveABoundAndRoomReturns() {
		HeldAnswers held = new HeldAnswers();
		int pieces = (int) (HeldAnswers.MAX_BYTES / PIECE);
		for (int i = 0; i < pieces; i++) {
			assertThat(held.take(PIECE)).isTrue();
		}
		assertThat(held.take(1)).isFalse();
		held.give(PIECE + 1);
		assertThat(held.take(PIECE)).isTrue();
		assertThat(held.bytes()).isEqualTo(HeldAnswers.MAX_BYTES);
	}

}
