package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Every way in which an attempt ends, on each kind of route, over loopback. Guards
 * against incident CONFIG (review/4): a request whose attempt had ended waited for its
 * time limit with nothing under way.
 */
class EveryEndIsAnsweredTests {

	/**
	 * Time within which the client has an answer or an end of its connection, far below
	 * the time limit of 5 s of the routes.
	 */
	private static final long MAX_MILLIS = 1500;

	private static final String EVENT = "id: 1\ndata: d\n\n";

	private static final List<String> PATHS = List.of("/safe/x", "/once/x", "/stream/x", "/firm/x", "/sized/x",
			"/firm-sized/x");

	private static List<Arguments> endsOnEachRoute() {
		List<Arguments> cases = new ArrayList<>();
		for (String path : PATHS) {
			for (End end : End.values()) {
				cases.add(Arguments.of(path, end));
			}
		}
		return cases;
	}

	@ParameterizedTest
	@MethodSource("endsOnEachRoute")
	@Timeout(10)
	void clientIsAnsweredAtOnce(String path, End end) throws Exception {
		ScriptedServer.Script script = (call) -> end.script.respond(call);
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script);
				GatewayFixture.Client client = fixture.connect()) {
			long began = System.nanoTime();
			client.send(path, "");
			client.readHead();
			assertThat((System.nanoTime() - began) / 1_000_000).isLessThan(MAX_MILLIS);
		}
	}

	private static String head(ScriptedServer.Call call, String status, String headers) {
		return "HTTP/1.1 " + status + " X\r\nid: " + call.header("id") + "\r\n" + headers;
	}

	private static void streamPart(ScriptedServer.Call call, String headers) throws IOException {
		call.streamHead(headers);
		call.chunk(EVENT);
	}

	/** End of each attempt of a request. */
	enum End {

		NOT_RUN((call) -> call.respond(503, "not-run: 1\r\n", "")),

		MISDIRECTED((call) -> call.respond(421, "", "")),

		FAILURE((call) -> call.respond(500, "seal: s\r\n", "failed")),

		SUCCESS_WITHOUT_SEAL((call) -> call.respond(200, "", "odd")),

		ENCODED((call) -> call.respond(200, "seal: s\r\ncontent-encoding: gzip\r\n", "odd")),

		RESET(ScriptedServer.Call::reset),

		CLOSED(ScriptedServer.Call::close),

		NO_HTTP((call) -> call.write("what?\r\n\r\n")),

		OTHER_ANSWER_THEN_CLOSED((call) -> {
			call.write("HTTP/1.1 200 X\r\nid: other\r\nseal: s\r\ncontent-length: 0\r\n\r\n");
			call.close();
		}),

		HEAD_CUT((call) -> {
			call.write(head(call, "200", "seal: s\r\n"));
			call.reset();
		}),

		BODY_CUT((call) -> {
			call.write(head(call, "200", "seal: s\r\ncontent-length: 100\r\n\r\nhalf"));
			call.reset();
		}),

		FAILURE_CUT((call) -> {
			call.write(head(call, "500", "seal: s\r\ncontent-length: 100\r\n\r\nhalf"));
			call.reset();
		}),

		NOT_RUN_CUT((call) -> {
			call.write(head(call, "503", "not-run: 1\r\ncontent-length: 100\r\n\r\nhalf"));
			call.reset();
		}),

		STREAM_CUT((call) -> {
			streamPart(call, "");
			call.reset();
		}),

		STREAM_ENDED_IN_AN_EVENT((call) -> {
			call.streamHead("");
			call.chunk("id: 1\ndata: h");
			call.endChunks();
		}),

		LOW_CONFIDENCE((call) -> {
			streamPart(call, "confidence: 1\r\n");
			call.endChunks();
		}),

		LOW_CONFIDENCE_CUT((call) -> {
			call.streamHead("confidence: 1\r\n");
			call.reset();
		}),

		REFUSED_CONNECTION(ScriptedServer.Call::crash);

		private final ScriptedServer.Script script;

		End(ScriptedServer.Script script) {
			this.script = script;
		}

	}

}
