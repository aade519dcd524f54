package io.sequoialink.gateway.http;

import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A stream has begun and breaks off, and the server that should go on with it answers
 * with something else, over loopback. Guards against an error's text in the middle of a
 * stream, pieces of two runs, and a broken stream that looks complete (ORDER, MIXED).
 */
class FailureAfterPartTests {

	private static final String BEGIN = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

	private static final String PAGE = "<html>\n\nerror\n\n</html>\n\n";

	private static final String EVENT_PAGE = "id: 9\ndata: error\n\n";

	private static ScriptedServer.Script sized(int status, String headers, String body) {
		return (call) -> call.respond(status, headers, body);
	}

	private static ScriptedServer.Script unframed(int status, String headers, String body) {
		return (call) -> {
			call.write("HTTP/1.1 " + status + " X\r\nid: " + call.header("id") + "\r\n" + headers + "\r\n" + body);
			call.close();
		};
	}

	private static ScriptedServer.Script chunked(int status, String headers, String body) {
		return (call) -> {
			call.write("HTTP/1.1 " + status + " X\r\nid: " + call.header("id") + "\r\n" + headers
					+ "transfer-encoding: chunked\r\n\r\n");
			call.chunk(body);
			call.endChunks();
		};
	}

	static Stream<ScriptedServer.Script> answersThatAreNoContinuation() {
		String html = "seal: s\r\ncontent-type: text/html\r\n";
		String events = "seal: s\r\ncontent-type: text/event-stream\r\n";
		return Stream.of(sized(500, "seal: s\r\n", "error text"), sized(500, html, PAGE), unframed(500, html, PAGE),
				chunked(502, html, PAGE), sized(500, events, EVENT_PAGE), sized(404, "seal: s\r\n", EVENT_PAGE),
				sized(200, html, PAGE), unframed(200, html, PAGE), chunked(200, html, PAGE),
				sized(200, "content-type: text/event-stream\r\n", EVENT_PAGE), sized(503, "not-run: 1\r\n", PAGE),
				sized(206, html, PAGE), sized(204, "seal: s\r\n", ""),
				chunked(200, events, BEGIN + "id: 3\ndata: end\n\n"), chunked(200, events, "id: 2\ndata: error\n\n"),
				chunked(200, events, "data: error\n\n"),
				unframed(200, events, "HTTP/1.1 500 X\r\nseal: s\r\n\r\nerror\n\n"));
	}

	@ParameterizedTest
	@MethodSource("answersThatAreNoContinuation")
	void theClientGetsNothingOfAnAnswerThatDoesNotGoOnWithItsStream(ScriptedServer.Script answer) throws Exception {
		ScriptedServer.Script script = (call) -> {
			if (call.header("last-event-id") != null) {
				answer.respond(call);
				return;
			}
			call.streamHead("content-type: text/event-stream\r\n");
			call.chunk(BEGIN);
			ScriptedServer.pause(50);
			call.reset();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script, script);
				GatewayFixture.Client client = fixture.connect()) {
			client.send("/stream/x", "");
			String all = client.readToEnd();
			assertThat(all).containsOnlyOnce("HTTP/1.1").containsOnlyOnce("id: 1").containsOnlyOnce("id: 2");
			assertThat(all).doesNotContain("error").doesNotContain("html").doesNotContain("id: 9");
			assertThat(all).doesNotContain("\r\n0\r\n\r\n");
			assertThat(fixture.attemptCount()).isGreaterThan(1);
		}
	}

	// A third server goes on after the second one has answered with an error.
	@Test
	void aStreamGoesOnAtAThirdServerAfterTheSecondAnsweredWithAnError() throws Exception {
		int[] resumed = { 0 };
		ScriptedServer.Script script = (call) -> {
			if (call.header("last-event-id") == null) {
				call.streamHead("");
				call.chunk(BEGIN);
				ScriptedServer.pause(50);
				call.reset();
				return;
			}
			resumed[0]++;
			if (resumed[0] == 1) {
				call.respond(500, "seal: s\r\n", "error");
				return;
			}
			call.streamHead("");
			call.chunk("id: 3\ndata: end\n\n");
			call.endChunks();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script, script)) {
			String response = fixture.exchange("/stream/x", "");
			assertThat(response).containsOnlyOnce("id: 1").contains("id: 3").doesNotContain("error");
			assertThat(response).doesNotEndWith("<cut>");
		}
	}

}
