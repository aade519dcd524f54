package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.Locale;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers whose answer to a run bears an id that was never sent on its connection, and
 * that answer the run once more with the right id and the opposite status, over loopback.
 * Guards against dropping the first and taking the second: a success where the server
 * answered with a failure, or the reverse (MIXED).
 */
class UnknownIdAnswerTests {

	private static final String EXTRA = "extra";

	private static String answer(int status, String headers, String body) {
		return "HTTP/1.1 " + status + " X\r\n" + headers + "content-length: " + body.length() + "\r\n\r\n" + body;
	}

	private static void answerTwice(ScriptedServer.Call call, IdForm form, int status, String headers)
			throws IOException {
		call.write(answer(status, form.headers(call.header("id")) + headers, "own"));
		ScriptedServer.pause(30);
		call.write(answer((status == 200) ? 500 : 200, "id: " + call.header("id") + "\r\nseal: s\r\n", EXTRA));
	}

	// Each run is answered so, on a new and on a kept connection.
	@ParameterizedTest
	@EnumSource(IdForm.class)
	@Timeout(20)
	void extraAnswerIsNotTaken(IdForm form) throws Exception {
		ScriptedServer.Script script = (call) -> {
			switch (call.path()) {
				case "/safe/sound" -> call.respond(200, "seal: s\r\n", "sound");
				case "/safe/refused", "/once/refused" -> answerTwice(call, form, 503, "not-run: 1\r\n");
				default -> answerTwice(call, form, call.path().endsWith("200") ? 200 : 500, "seal: s\r\n");
			}
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			StringBuilder bodies = new StringBuilder();
			for (String path : new String[] { "/safe/200", "/safe/500", "/once/200", "/once/500", "/safe/refused",
					"/once/refused" }) {
				bodies.append(path).append(' ').append(RawHttp.body(fixture.exchange(path, ""))).append('\n');
				fixture.exchange("/safe/sound", "");
				String onKept = RawHttp.body(fixture.exchange(path, ""));
				bodies.append(path).append(" again ").append(onKept).append('\n');
			}
			assertThat(bodies.toString()).doesNotContain(EXTRA);
		}
	}

	// On a new connection an answer without an id is taken as the first one, although it
	// is the second.
	@Test
	@Timeout(20)
	void extraAnswerWithoutAnIdIsNotTaken() throws Exception {
		ScriptedServer.Script script = (call) -> call
			.write(answer(500, IdForm.SPOILT.headers(call.header("id")) + "seal: s\r\n", "own")
					+ answer(200, "seal: s\r\n", EXTRA));
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			assertThat(RawHttp.body(fixture.exchange("/safe/x", ""))).doesNotContain(EXTRA);
		}
	}

	// The same through another host, and where a stream goes on elsewhere.
	@ParameterizedTest
	@CsvSource({ "/safe/500, true", "/stream/x, false" })
	@Timeout(20)
	void extraAnswerOfAnotherKindOfAttemptIsNotTaken(String path, boolean helped) throws Exception {
		ScriptedServer.Script script = (call) -> {
			if (helped) {
				answerTwice(call, IdForm.SPOILT, 500, "seal: s\r\n");
				return;
			}
			if (call.header("last-event-id") == null) {
				call.streamHead("");
				call.chunk("id: 1\ndata: own\n\n");
				call.reset();
				return;
			}
			call.write(answer(500, IdForm.SPOILT.headers(call.header("id")) + "seal: s\r\n", "own"));
			call.streamHead("");
			call.chunk("id: 2\ndata: extra\n\n");
			call.endChunks();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script);
				GatewayFixture.Client client = fixture.connect()) {
			if (helped) {
				fixture.startHelpingHost();
				fixture.setCutOff(true);
			}
			client.send(path, "connection: close\r\n");
			assertThat(client.readToEnd()).doesNotContain(EXTRA);
		}
	}

	/** The ids of an answer to the request whose id is given. */
	enum IdForm {

		SPOILT, CUT, IN_OTHER_CASE, EMPTY, OTHER_THEN_RIGHT, LIST;

		private String headers(String id) {
			return switch (this) {
				case SPOILT -> "id: x" + id + "\r\n";
				case CUT -> "id: " + id.substring(0, 1) + "\r\n";
				case IN_OTHER_CASE -> "id: " + id.toUpperCase(Locale.ROOT) + "\r\n";
				case EMPTY -> "id: \r\n";
				case OTHER_THEN_RIGHT -> "id: other\r\nid: " + id + "\r\n";
				case LIST -> "id: " + id + ", other\r\n";
			};
		}

	}

}
