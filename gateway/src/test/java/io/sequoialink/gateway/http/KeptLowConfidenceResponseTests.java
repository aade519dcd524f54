package io.sequoialink.gateway.http;

import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of responses of low confidence that no response of a larger model may or can
 * replace.
 */
class KeptLowConfidenceResponseTests {

	private static final String EVENT = "id: 1\ndata: d\n\n";

	// Guards against clients held until the time limit: the response was dropped though
	// the request must not be sent again, and nothing followed it.
	@Test
	@Timeout(10)
	void responseOfARequestThatMustNotRunTwiceIsForwarded() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(unsure())) {
			for (int i = 1; i <= 3; i++) {
				String response = fixture.exchange("/firm-sized/x", "");
				assertThat(RawHttp.status(response)).isEqualTo(200);
				assertThat(RawHttp.body(response)).isEqualTo(EVENT);
				assertThat(fixture.attemptCount()).isEqualTo(i);
			}
		}
	}

	// Guards against a 502 in place of a response: it was dropped when no server was left
	// for the request to a larger model.
	@Test
	@Timeout(10)
	void responseIsForwardedWhenNoServerIsLeft() throws Exception {
		AtomicReference<GatewayFixture> started = new AtomicReference<>();
		ScriptedServer.Script leaving = (call) -> {
			started.get().removeServer(1);
			unsure().respond(call);
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(leaving)) {
			started.set(fixture);
			String response = fixture.exchange("/sized/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(200);
			assertThat(RawHttp.body(response)).isEqualTo(EVENT);
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	private static ScriptedServer.Script unsure() {
		return (call) -> {
			call.streamHead("confidence: 5\r\n");
			call.chunk(EVENT);
			call.endChunks();
		};
	}

}
