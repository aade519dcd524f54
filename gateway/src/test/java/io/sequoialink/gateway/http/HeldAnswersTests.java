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
			assertThat(held.reserve(PIECE)).isTrue();
		}
		assertThat(held.reserve(1)).isFalse();
		held.release(PIECE + 1);
		assertThat(held.reserve(PIECE)).isTrue();
		assertThat(held.bytes()).isEqualTo(HeldAnswers.MAX_BYTES);
	}

}
