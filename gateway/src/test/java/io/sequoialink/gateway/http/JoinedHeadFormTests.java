package io.sequoialink.gateway.http;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Answers that follow the beginning of another answer on a kept connection, over
 * loopback, in all forms of a status line that the decoder takes. Guards against a head
 * that is read from two, and against refusing a right one.
 */
class JoinedHeadFormTests {

	private static final String EXTRA = "HTTP/1.1 200 X\r\nid: %s\r\nseal: s\r\ncontent-length: %d\r\n\r\n";

	private static String headers(String id, String body) {
		return "\r\nid: " + id + "\r\nseal: s\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
	}

	// A status line that is taken alone must also be found inside a head.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 500 X", "HTTP/1.1 500", "HTTP/1.0 500 X", "http/1.1 500 X", "HTTP/1.1  500 X",
			"HTTP/1.1\t500 X", "HTTP/1.10 500 X", "HTTP/01.1 500 X", "HTTP/1.1 0500 X", "ICY/1.1 500 X" })
	@Timeout(60)
	void statusLineInsideIsFoundInEachForm(String statusLine) throws Exception {
		List<String> wrong = new ArrayList<>();
		String[] begun = { "" };
		ScriptedServer.Script script = (call) -> {
			String id = call.header("id");
			if (call.path().endsWith("next")) {
				call.write(begun[0] + statusLine + headers(id, "own"));
				begun[0] = "";
				return;
			}
			begun[0] = EXTRA.formatted(id, 0).substring(0, Integer.parseInt(call.path().substring("/safe/".length())));
			call.write("HTTP/1.1 200 X" + headers(id, "first"));
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			int length = EXTRA.formatted("r12345", 0).length();
			for (int cut = 1; cut < length; cut++) {
				fixture.exchange("/safe/" + cut, "");
				String response = fixture.exchange("/safe/next", "");
				if (RawHttp.status(response) / 100 != 5) {
					wrong.add(cut + ": " + RawHttp.status(response) + " " + RawHttp.body(response));
				}
			}
		}
		assertThat(wrong).isEmpty();
	}

	// The rest of an extra answer's body is missing, and the next answer is as long.
	@Test
	@Timeout(20)
	void answerIsNotSkippedAsTheBodyOfAnExtraOne() throws Exception {
		String[] earlier = { "" };
		ScriptedServer.Script script = (call) -> {
			String id = call.header("id");
			if (call.path().endsWith("next")) {
				String own = "HTTP/1.1 500 X" + headers(id, "own");
				call.write(EXTRA.formatted(earlier[0], own.length()) + own);
				ScriptedServer.pause(30);
				call.write("HTTP/1.1 200 X" + headers(id, "extra"));
				return;
			}
			earlier[0] = id;
			call.write("HTTP/1.1 200 X" + headers(id, "first"));
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			fixture.exchange("/safe/first", "");
			assertThat(RawHttp.body(fixture.exchange("/safe/next", ""))).doesNotContain("extra");
		}
	}

	// A right answer that quotes a status line is handed on, also where it must run once.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/quote", "/once/quote" })
	@Timeout(20)
	void rightAnswerThatQuotesAStatusLineIsTaken(String path) throws Exception {
		ScriptedServer.Script script = (call) -> call.respond(200, "seal: s\r\nx-cause: got HTTP/1.1 503 Busy\r\n",
				"own");
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
		}
	}

}
