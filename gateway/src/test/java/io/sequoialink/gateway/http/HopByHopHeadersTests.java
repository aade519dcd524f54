package io.sequoialink.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HopByHopHeadersTests {

	@Test
	void hopByHopHeadersAndThoseNamedByConnectionAreRemoved() {
		HttpHeaders headers = new DefaultHttpHeaders().add("Connection", "close, X-Hop")
			.add("X-Hop", "1")
			.add("Keep-Alive", "timeout=5")
			.add("Transfer-Encoding", "chunked")
			.add("TE", "trailers")
			.add("Host", "a.example")
			.add("X-Kept", "2");
		HttpHeaders passed = HopByHopHeaders.strip(headers);
		assertThat(passed.names()).containsExactlyInAnyOrder("Host", "X-Kept");
	}

	@Test
	void aConnectionHeaderCannotRemoveTheHost() {
		HttpHeaders headers = new DefaultHttpHeaders().add("Connection", "host").add("Host", "a.example");
		assertThat(HopByHopHeaders.strip(headers).get("Host")).isEqualTo("a.example");
	}

}
