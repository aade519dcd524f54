package io.sequoialink.gateway.http;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseBufferLimitTests {

	private static final int PIECE = 1 << 20;

	@Test
	void limitAppliesToAllResponsesAndReleasedMemoryIsReusable() {
		ResponseBufferLimit limit = new ResponseBufferLimit();
		int parts = (int) (ResponseBufferLimit.MAX_BYTES / PIECE);
		for (int i = 0; i < parts; i++) {
			assertThat(limit.reserve(PIECE)).isTrue();
		}
		assertThat(limit.reserve(1)).isFalse();
		limit.release(PIECE + 1);
		assertThat(limit.reserve(PIECE)).isTrue();
		assertThat(limit.bytes()).isEqualTo(ResponseBufferLimit.MAX_BYTES);
	}

}
