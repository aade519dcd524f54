package io.sequoialink.gateway.http;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers that are full, over loopback, with a single host that restricts their service.
 */
class ShortCapacityTests {

	private static void turnAway(ScriptedServer.Call call) throws IOException {
		call.respond(503, "not-run: 1\r\nload: 6,24,6\r\n", "");
	}

	private static void answer(ScriptedServer.Call call, String load) throws IOException {
		if (!call.path().startsWith("/stream/")) {
			call.respond(200, "seal: s\r\nload: " + load + "\r\n", "hello");
			return;
		}
		call.streamHead("load: " + load + "\r\n");
		call.chunk("id: 1\ndata: d\n\n");
		call.endChunks();
	}

	// Guards against sends that use up the attempts of requests at servers that are full.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void requestIsSentOnceWhileAllServersAreFull(String path) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(ShortCapacityTests::turnAway)) {
			fixture.restrictService();
			for (int i = 0; i < 3; i++) {
				String response = fixture.exchange(path, "");
				assertThat(RawHttp.status(response)).isEqualTo(503);
				assertThat(Double.parseDouble(RawHttp.header(response, "retry-after"))).isBetween(0.2, 9.5);
			}
			// one more is possible if the machine is so busy that the rejection gets old
			assertThat(fixture.attemptCount()).isLessThanOrEqualTo(4);
		}
	}

	// Guards against a choice of the server that has just rejected a request.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void fullServerIsAvoided(String path) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(ShortCapacityTests::turnAway,
				(call) -> answer(call, "1,0,6"))) {
			fixture.restrictService();
			for (int i = 0; i < 10; i++) {
				assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			}
			assertThat(fixture.server(1).requests().size()).isLessThanOrEqualTo(1 + 10 / 5);
		}
	}

	// Guards against restrictions while servers report free slots.
	@Test
	void freeServersGetEveryRequest() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers((call) -> answer(call, "5,0,6"))) {
			fixture.restrictService();
			for (int i = 0; i < 20; i++) {
				assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
			}
		}
	}

	// Guards against requests that end without an answer when they end while they are
	// held.
	@Test
	@Timeout(20)
	void serviceIsUsedAgainAfterTheShortage() throws Exception {
		boolean[] full = { true };
		try (GatewayFixture fixture = GatewayFixture.withServers((call) -> {
			if (full[0]) {
				turnAway(call);
			}
			else {
				answer(call, "1,0,6");
			}
		})) {
			fixture.restrictService();
			for (int i = 0; i < 5; i++) {
				assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(503);
			}
			full[0] = false;
			Thread.sleep(400);
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
		}
	}

}
