package io.sequoialink.gateway.http;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers that write the beginning of another answer behind a complete one, over
 * loopback: the next answer on that connection follows these bytes. Guards against a head
 * that is read from both, with the status of the first and the id, signature and body of
 * the second: a success where the server answered with a failure (MIXED).
 */
class CutExtraAnswerTests {

	private static final String OWN = "own";

	private static String answer(int status, String id, String body) {
		return "HTTP/1.1 " + status + " X\r\n" + id + "seal: s\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
	}

	static Stream<Arguments> orders() {
		List<Arguments> all = new ArrayList<>();
		for (When when : When.values()) {
			for (boolean named : new boolean[] { true, false }) {
				all.add(Arguments.of(when, named, 200, 500));
				all.add(Arguments.of(when, named, 500, 200));
				all.add(Arguments.of(when, named, 204, 500));
			}
		}
		return all.stream();
	}

	// The bytes that remain of the extra answer are cut at each byte.
	@ParameterizedTest(name = "{0}, with id {1}, status {2} before {3}")
	@MethodSource("orders")
	@Timeout(60)
	void answerBehindTheBeginningOfAnotherKeepsItsStatus(When when, boolean named, int extra, int own)
			throws Exception {
		List<String> wrong = new ArrayList<>();
		String[] begun = { "" };
		ScriptedServer.Script script = (call) -> {
			String id = "id: " + call.header("id") + "\r\n";
			if (call.path().endsWith("next")) {
				call.write(((when == When.BEFORE_THE_NEXT) ? begun[0] : "") + answer(own, id, OWN));
				begun[0] = "";
				return;
			}
			String second = answer(extra, named ? id : "", "");
			String cut = second.substring(0, Integer.parseInt(call.path().substring("/safe/".length())));
			begun[0] = cut;
			call.write(answer(200, id, OWN) + ((when == When.AT_ONCE) ? cut : ""));
			if (when == When.WHILE_IDLE) {
				ScriptedServer.pause(5);
				call.write(cut);
			}
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			int length = answer(extra, named ? "id: r12345\r\n" : "", "").length();
			for (int cut = 1; cut < length; cut++) {
				fixture.exchange("/safe/" + cut, "");
				if (when == When.WHILE_IDLE) {
					Thread.sleep(15);
				}
				String response = fixture.exchange("/safe/next", "");
				String outcome = RawHttp.status(response) + " " + RawHttp.body(response);
				if (!outcome.equals(own + " " + OWN) && RawHttp.status(response) != 502) {
					wrong.add(cut + ": " + outcome);
				}
			}
		}
		assertThat(wrong).isEmpty();
	}

	/** When the bytes are written. */
	enum When {

		/** In one piece with the complete answer. */
		AT_ONCE,

		/** A moment later. */
		WHILE_IDLE,

		/** In one piece with the next answer. */
		BEFORE_THE_NEXT

	}

}
