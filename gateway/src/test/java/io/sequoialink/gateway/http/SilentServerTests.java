package io.sequoialink.gateway.http;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sound servers that fall silent for a second or so and go on, which is no disruption,
 * over loopback. Guards against answers that are given up, requests that run twice, and
 * servers that are blamed or avoided for long because of it.
 */
class SilentServerTests {

	private static final long SILENCE_MILLIS = 1300;

	private static final ScriptedServer.Script GOOD = (call) -> call.respond(200, "seal: s\r\n", "hello");

	private static final ScriptedServer.Script SILENT_BEFORE_THE_HEAD = (call) -> {
		ScriptedServer.pause(SILENCE_MILLIS);
		GOOD.respond(call);
	};

	@Test
	void aRequestThatMustNotBeRepeatedIsAwaited() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(SILENT_BEFORE_THE_HEAD, SILENT_BEFORE_THE_HEAD)) {
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
			assertThat(fixture.attemptCount()).isEqualTo(1);
			assertThat(fixture.paths().suspected("svc")).isFalse();
			assertThat(fixture.published()).isEmpty();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/stream/x" })
	void aRequestThatMayBeRepeatedIsServed(String path) throws Exception {
		ScriptedServer.Script script = path.startsWith("/stream") ? SilentServerTests::silentThenStream
				: SILENT_BEFORE_THE_HEAD;
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script)) {
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			assertThat(fixture.attemptCount()).isLessThanOrEqualTo(2);
			assertThat(fixture.published()).isEmpty();
		}
	}

	private static void silentThenStream(ScriptedServer.Call call) throws IOException {
		ScriptedServer.pause(SILENCE_MILLIS);
		call.streamHead("");
		call.chunk("id: 1\ndata: d\n\n");
		call.endChunks();
	}

	@ParameterizedTest
	@ValueSource(strings = { "/stream/x", "/firm/x" })
	void aStreamThatFallsSilentInItsMiddleGoesOn(String path) throws Exception {
		ScriptedServer.Script script = (call) -> {
			call.streamHead("");
			call.chunk("id: 1\ndata: d\n\n");
			ScriptedServer.pause(SILENCE_MILLIS);
			call.chunk("id: 2\ndata: d\n\n");
			call.endChunks();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script)) {
			String response = fixture.exchange(path, "");
			assertThat(response).containsOnlyOnce("id: 1").containsOnlyOnce("id: 2").doesNotEndWith("<cut>");
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	@Test
	void theServerIsUsedAgainAtOnceWhenItAnswers() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GatewayTests.firstOnly(SILENT_BEFORE_THE_HEAD))) {
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
			fixture.onLoop(() -> assertThat(fixture.table().find("s1").orElseThrow().ejected(System.nanoTime()))
				.as("avoided after its answer")
				.isFalse());
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
		}
	}

}
