package io.sequoialink.gateway.http;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Right answers of unusual forms, over loopback, directly and through a helping host.
 * Guards against checks of the syntax that lose them.
 */
class OddAnswerTests {

	private static final String FIELDS = "id: ID\r\nseal: s\r\n";

	private static final String BODY = "hello\n\n";

	private static final String LENGTH = "content-length: 7\r\n\r\n" + BODY;

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\n" + FIELDS + "transfer-encoding: chunked\r\n\r\n";

	private static final String UNTIL_CLOSE = "\r\n" + BODY;

	static Stream<Arguments> wholeAnswers() {
		return Stream.of(answer("no reason phrase", "HTTP/1.1 200\r\n" + FIELDS + LENGTH),
				answer("empty reason phrase", "HTTP/1.1 200 \r\n" + FIELDS + LENGTH),
				answer("reason phrase of several words", "HTTP/1.1 200 All is\twell\r\n" + FIELDS + LENGTH),
				answer("bytes above 127 in the reason phrase", "HTTP/1.1 200 \u00e4\u00ff\r\n" + FIELDS + LENGTH),
				answer("bytes above 127 in a value", "HTTP/1.1 200 OK\r\nx-text: \u00e4\u00ff\r\n" + FIELDS + LENGTH),
				answer("version 1.0", "HTTP/1.0 200 OK\r\n" + FIELDS + LENGTH),
				answer("version 1.0, no length", "HTTP/1.0 200 OK\r\n" + FIELDS + UNTIL_CLOSE),
				answer("no length", "HTTP/1.1 200 OK\r\n" + FIELDS + UNTIL_CLOSE),
				answer("repeated blanks", "HTTP/1.1  200  OK\r\n" + FIELDS + LENGTH),
				answer("empty lines before", "\r\n\r\nHTTP/1.1 200 OK\r\n" + FIELDS + LENGTH),
				answer("values without and with several blanks",
						"HTTP/1.1 200 OK\r\nid:ID\r\nseal:  s \t\r\nx-empty:\r\n" + LENGTH),
				answer("other cases",
						"HTTP/1.1 200 OK\r\nID\r\n".replace("ID", "Id: ID") + "SEAL: s\r\nContent-LENGTH: 7\r\n\r\n"
								+ BODY),
				answer("all characters of a name", "HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~09: v\r\n" + FIELDS + LENGTH),
				answer("interim answers before",
						"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n"
								+ FIELDS + LENGTH),
				answer("trailers", CHUNKED + "7\r\n" + BODY + "\r\n0\r\nx-sum: 1\r\nx-other: \u00e4\r\n\r\n"),
				answer("chunk extensions and sizes with zeros",
						CHUNKED + "004;a=b;c=\"d e\"\r\nhell\r\n3 ; x\r\no\n\n\r\n000;last\r\n\r\n"),
				answer("chunk size followed by blanks", CHUNKED + "7  \r\n" + BODY + "\r\n0\r\n\r\n"),
				answer("codings in another case",
						"HTTP/1.1 200 OK\r\n" + FIELDS + "Transfer-Encoding: Chunked\r\n\r\n7\r\n" + BODY
								+ "\r\n0\r\n\r\n"),
				answer("the coding that changes nothing",
						"HTTP/1.1 200 OK\r\n" + FIELDS + "transfer-encoding: identity\r\n" + LENGTH));
	}

	private static Arguments answer(String name, String text) {
		return Arguments.of(name, text);
	}

	private static GatewayFixture answering(boolean throughHost, ScriptedServer.Script script) throws Exception {
		GatewayFixture fixture = GatewayFixture.withServers(script, script);
		fixture.startHelpingHost();
		fixture.setCutOff(throughHost);
		return fixture;
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("wholeAnswers")
	@Timeout(30)
	void rightAnswerIsDelivered(String name, String text) throws Exception {
		for (boolean throughHost : List.of(false, true)) {
			ScriptedServer.Script script = (call) -> {
				call.write(text.replace("ID", call.header("id")));
				call.close();
			};
			try (GatewayFixture fixture = answering(throughHost, script)) {
				for (String path : List.of("/safe/x", "/once/x")) {
					String response = fixture.exchange(path, "");
					assertThat(response).startsWith("HTTP/1.1 200");
					assertThat(RawHttp.header(response, "seal")).isEqualTo("s");
					assertThat(RawHttp.body(response)).isEqualTo(BODY);
				}
			}
		}
	}

	// Guards against heads that are found wrong where they are cut between two reads.
	@Test
	@Timeout(60)
	void rightAnswersAreDeliveredByteByByte() throws Exception {
		List<String> texts = wholeAnswers().map((answer) -> (String) answer.get()[1]).toList();
		ScriptedServer.Script script = (call) -> {
			String text = texts.get(Integer.parseInt(call.path().substring("/once/".length())));
			for (char next : text.replace("ID", call.header("id")).toCharArray()) {
				call.write(String.valueOf(next));
			}
			call.close();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			for (int i = 0; i < texts.size(); i++) {
				String response = fixture.exchange("/once/" + i, "");
				assertThat(response).as(texts.get(i)).startsWith("HTTP/1.1 200");
				assertThat(RawHttp.body(response)).as(texts.get(i)).isEqualTo(BODY);
			}
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 200, 201, 206, 226, 299, 300, 308, 399, 400, 402, 418, 451, 499, 500, 511, 520, 599 })
	@Timeout(30)
	void statusThatAServerMayUseIsDelivered(int status) throws Exception {
		ScriptedServer.Script script = (call) -> call.respond(status, "seal: s\r\n", BODY);
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			String response = fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(status);
			assertThat(RawHttp.header(response, "seal")).isEqualTo("s");
		}
	}

}
