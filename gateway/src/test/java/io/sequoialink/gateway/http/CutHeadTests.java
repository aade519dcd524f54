package io.sequoialink.gateway.http;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers that stop in the middle of a response's head, at each byte, or before the end
 * of its body, and close or reset the connection, over loopback. Guards against a report
 * of other operators: clients got a 200 with an empty or short body, framed as whole.
 */
class CutHeadTests {

	private static final String BODY = "hello\n\n";

	private static final String CHUNKED = "7\r\nid: 1\n\n\r\n0\r\n\r\n";

	/** Marks the end of the bytes that a kept connection's first response takes. */
	private static final String FIRST = "first";

	private static String head(ScriptedServer.Call call, String framing) {
		return switch (framing) {
			case "length" ->
				"HTTP/1.1 200 OK\r\nid: " + call.header("id") + "\r\nseal: s\r\ncontent-length: 7\r\n\r\n" + BODY;
			case "seal last" ->
				"HTTP/1.1 200 OK\r\ncontent-length: 7\r\nid: " + call.header("id") + "\r\nseal: s\r\n\r\n" + BODY;
			case "chunked" -> "HTTP/1.1 200 OK\r\nid: " + call.header("id")
					+ "\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNKED;
			case "none" -> "HTTP/1.1 200 OK\r\nid: " + call.header("id") + "\r\nseal: s\r\n\r\n";
			default -> throw new IllegalArgumentException(framing);
		};
	}

	// The number of bytes to write is the last part of the path.
	private static ScriptedServer.Script cutting(String framing, String end) {
		return (call) -> {
			String path = call.path();
			if (path.endsWith(FIRST)) {
				call.respond(200, "seal: s\r\n", BODY);
				return;
			}
			String text = head(call, framing);
			call.write(text.substring(0, Integer.parseInt(path.substring(path.lastIndexOf('/') + 1))));
			if (end.equals("reset")) {
				call.reset();
			}
			else {
				call.close();
			}
		};
	}

	// Length of everything but the last byte; a response without framing is complete with
	// its head.
	private static int cuts(String framing) {
		String idOfTests = "r12345";
		return switch (framing) {
			case "length", "seal last" ->
				("HTTP/1.1 200 OK\r\nid: " + idOfTests + "\r\nseal: s\r\ncontent-length: 7\r\n\r\n").length()
						+ BODY.length();
			case "chunked" ->
				("HTTP/1.1 200 OK\r\nid: " + idOfTests + "\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n").length()
						+ CHUNKED.length();
			default -> ("HTTP/1.1 200 OK\r\nid: " + idOfTests + "\r\nseal: s\r\n\r\n").length();
		};
	}

	private static String request(String method, String path) {
		return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nid: r12345\r\nkey: k\r\n\r\n";
	}

	private static boolean complete(String response) {
		return response.startsWith("HTTP/1.1 2") && !response.endsWith("<cut>");
	}

	@ParameterizedTest(name = "{0}, {1}, {2}")
	@CsvSource({ "length, close, GET", "length, reset, GET", "seal last, close, GET", "chunked, close, GET",
			"chunked, reset, GET", "none, close, GET", "none, reset, GET", "length, close, HEAD", "none, close, HEAD",
			"chunked, close, HEAD" })
	void noClientGetsASuccessFromAResponseThatWasCut(String framing, String end, String method) throws Exception {
		List<String> wrong = new ArrayList<>();
		try (GatewayFixture fixture = GatewayFixture.withServers(cutting(framing, end))) {
			int bodyBytes = method.equals("HEAD") ? bodyLength(framing) : 0;
			for (int cut = 0; cut < cuts(framing) - bodyBytes; cut++) {
				for (String route : List.of("/safe/", "/once/")) {
					try (GatewayFixture.Client client = fixture.connect()) {
						client.raw(request(method, route + cut));
						String response = client.readHead();
						if (complete(response)) {
							wrong.add(route + cut + ": " + response);
						}
					}
				}
			}
		}
		assertThat(wrong).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "length", "seal last", "chunked", "none" })
	void theWholeResponseIsASuccess(String framing) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(cutting(framing, "close"))) {
			try (GatewayFixture.Client client = fixture.connect()) {
				client.raw(request("GET", "/safe/" + cuts(framing)));
				assertThat(complete(client.readHead())).isTrue();
			}
		}
	}

	private static int bodyLength(String framing) {
		return switch (framing) {
			case "chunked" -> CHUNKED.length();
			case "none" -> 0;
			default -> BODY.length();
		};
	}

	@ParameterizedTest
	@ValueSource(strings = { "length", "seal last", "none" })
	void theSameHoldsOnAConnectionToTheServerThatWasKept(String framing) throws Exception {
		List<String> wrong = new ArrayList<>();
		try (GatewayFixture fixture = GatewayFixture.withServers(cutting(framing, "close"))) {
			for (int cut = 0; cut < cuts(framing); cut++) {
				fixture.exchange("/safe/" + FIRST, "");
				try (GatewayFixture.Client client = fixture.connect()) {
					client.raw(request("GET", "/safe/" + cut));
					String response = client.readHead();
					if (complete(response)) {
						wrong.add(cut + ": " + response);
					}
				}
			}
		}
		assertThat(wrong).isEmpty();
	}

	// An event stream that was resumed after its first event; the head of the second run
	// is
	// cut at each byte.
	@Test
	void aLaterRunOfAStreamWhoseHeadIsCutDoesNotEndTheStream() throws Exception {
		List<String> wrong = new ArrayList<>();
		for (String framing : List.of("length", "chunked", "none")) {
			ScriptedServer.Script script = (call) -> {
				if (call.header("last-event-id") == null) {
					call.streamHead("");
					call.chunk("id: 1\ndata: d\n\n");
					call.close();
					return;
				}
				cutting(framing, "close").respond(call);
			};
			try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
				int bodyBytes = framing.equals("none") ? 0 : bodyLength(framing);
				for (int cut = 0; cut < cuts(framing) - bodyBytes; cut++) {
					try (GatewayFixture.Client client = fixture.connect()) {
						client.raw(request("GET", "/stream/" + cut));
						String response = client.readToEnd();
						if (!response.endsWith("<cut>")) {
							wrong.add(framing + " " + cut + ": " + response);
						}
					}
				}
			}
		}
		assertThat(wrong).isEmpty();
	}

}
