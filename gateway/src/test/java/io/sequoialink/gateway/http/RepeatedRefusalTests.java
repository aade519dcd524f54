package io.sequoialink.gateway.http;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A faulty server writes an earlier refusal once more, over loopback. Guards against
 * telling a client that its request was not run, or sending it to a second server,
 * although the server runs it (REFUSED, TWICE).
 */
class RepeatedRefusalTests {

	private static String refusal(String id) {
		return "HTTP/1.1 503 X\r\n" + (id.isEmpty() ? "" : "id: " + id + "\r\n")
				+ "not-run: 1\r\ncontent-length: 0\r\n\r\n";
	}

	private static void run(ScriptedServer.Call call) throws IOException {
		call.respond(200, "seal: s\r\n", "done");
	}

	// The copy comes while the next request waits on the kept connection, with the id of
	// the refused request or without one.
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void aRefusalOfAnEarlierRequestIsNotTakenForThatOfTheNext(boolean withId) throws Exception {
		String[] refused = { "" };
		ScriptedServer.Script script = (call) -> {
			if (call.number() == 1) {
				refused[0] = call.header("id");
				run(call);
				return;
			}
			if (call.number() == 2) {
				call.write(refusal(withId ? refused[0] : ""));
			}
			run(call);
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			int status = RawHttp.status(fixture.exchange("/safe/x", ""));
			assertThat(status).isEqualTo((withId || fixture.attemptCount() > 2) ? 200 : 502);
		}
	}

	// The copy follows its refusal at once, so it is read together with it, when the
	// repeat of the same request may have been written to the same connection already.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x", "/firm/x" })
	void aSecondCopyOfARefusalIsNotTakenForTheAnswerToTheRepeat(String path) throws Exception {
		ScriptedServer.Script script = (call) -> {
			if (call.number() == 1) {
				call.write(refusal(call.header("id")) + refusal(call.header("id")));
				return;
			}
			ScriptedServer.pause(100);
			if (path.startsWith("/stream/") || path.startsWith("/firm/")) {
				call.streamHead("");
				call.chunk("id: 1\ndata: x\n\n");
				call.endChunks();
				return;
			}
			run(call);
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script)) {
			String response = fixture.exchange(path, "");
			boolean ran = fixture.attemptCount() > 2 || fixture.server(1).requests().size() > 1
					|| fixture.server(2).requests().size() > 1;
			assertThat(RawHttp.status(response)).isIn(200, ran ? 200 : 503);
		}
	}

	// The server runs the request, and refuses its repeat: the client must not be told
	// that
	// it was not run.
	@Test
	void aRequestThatRunsIsNotCalledNotRunForARefusalThatNamesNoRequest() throws Exception {
		ScriptedServer.Script script = (call) -> {
			switch (call.number()) {
				case 1 -> run(call);
				case 2 -> {
					call.write(refusal(""));
					ScriptedServer.pause(100);
					run(call);
				}
				default -> call.write(refusal(call.header("id")));
			}
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(502);
		}
	}

	// The copy is read together with its refusal. With one server the repeat would go
	// over
	// the same connection.
	@Test
	void aRepeatIsNotSentOverTheConnectionOnWhichItWasRefused() throws Exception {
		ScriptedServer.Script script = (call) -> {
			if (call.number() == 1) {
				call.write(refusal(call.header("id")) + refusal(call.header("id")));
				return;
			}
			ScriptedServer.pause(100);
			run(call);
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			String response = fixture.exchange("/safe/x", "");
			assertThat(RawHttp.status(response)).isEqualTo((fixture.attemptCount() > 1) ? 200 : 503);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 20, 120 })
	void aCopyOfARefusalEndsNoLaterRequestThatMustNotRunTwice(int pauseMillis) throws Exception {
		ScriptedServer.Script script = (call) -> {
			if (call.path().endsWith("refused")) {
				call.write(refusal(call.header("id")));
				ScriptedServer.pause(pauseMillis);
				call.write(refusal(call.header("id")) + refusal(""));
				return;
			}
			ScriptedServer.pause(200);
			run(call);
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			assertThat(RawHttp.status(fixture.exchange("/once/refused", ""))).isEqualTo(503);
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
			assertThat(fixture.server(1).requests().stream().filter((request) -> request.contains("/once/x")).count())
				.isEqualTo(1);
		}
	}

	// A refusal without an id on a new connection can only be of the request just sent.
	@Test
	void aRefusalWithoutAnIdOnANewConnectionIsTaken() throws Exception {
		ScriptedServer.Script script = (call) -> call.write(refusal(""));
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(503);
		}
	}

}
