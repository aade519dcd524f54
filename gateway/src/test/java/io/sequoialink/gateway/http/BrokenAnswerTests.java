package io.sequoialink.gateway.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers whose answers break the syntax of the protocol, over loopback, directly and
 * through a helping host. Guards against handing such an answer to a client (MIXED).
 */
class BrokenAnswerTests {

	private static final String EVENT = "id: 1\ndata: d\n\n";

	private static final String FIELDS = "\r\nid: ID\r\nseal: s\r\ncontent-length: 15\r\n";

	private static void assertRefused(String answer) throws Exception {
		for (boolean throughHost : List.of(false, true)) {
			assertRefused(answer, throughHost);
		}
	}

	private static void assertRefused(String answer, boolean throughHost) throws Exception {
		try (GatewayFixture fixture = answering(throughHost, answer)) {
			for (String path : List.of("/safe/x", "/once/x", "/firm/x")) {
				String response = fixture.exchange(path, "");
				assertThat(response).as(path).startsWith("HTTP/1.1 502 ").doesNotContain(EVENT);
				assertThat(RawHttp.header(response, "seal")).as(path).isNull();
			}
			assertThat(fixture.attemptCount()).isEqualTo(4);
			assertUnreadable(fixture, 4);
		}
	}

	private static GatewayFixture answering(boolean throughHost, String answer) throws Exception {
		ScriptedServer.Script script = (call) -> {
			call.write(answer.replace("ID", call.header("id")));
			call.close();
		};
		GatewayFixture fixture = GatewayFixture.withServers(script, script);
		fixture.startHelpingHost();
		fixture.setCutOff(throughHost);
		return fixture;
	}

	private static void assertUnreadable(GatewayFixture fixture, long count) throws Exception {
		List<Map<List<String>, Long>> counts = new ArrayList<>();
		fixture.onLoop(() -> counts.add(Map.copyOf(fixture.counts().unexpectedHeads().counts())));
		assertThat(counts.get(0)).containsEntry(List.of("unreadable"), count);
	}

	// Guards against a server in trouble whose answer with status 000 reached its client.
	@ParameterizedTest
	@ValueSource(
			strings = { "000", "001", "099", "600", "999", "-1", "20", "2000", "0200", "+200", "+20", "2x0", "200OK" })
	@Timeout(30)
	void statusThatTheProtocolDoesNotHave(String status) throws Exception {
		assertRefused("HTTP/1.1 " + status + " X" + FIELDS + "\r\n" + EVENT);
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK", "ICY 200 OK",
			"http/1.1 200 OK", " HTTP/1.1 200 OK", "\u0001HTTP/1.1 200 OK", "HTTP/1.1 200 O\u0001K",
			"HTTP/1.1 200 O\u007fK", "HTTP/1.1200 OK", "200 OK" })
	@Timeout(30)
	void firstLineThatIsNoStatusLine(String line) throws Exception {
		assertRefused(line + FIELDS + "\r\n" + EVENT);
	}

	// Guards against a line that is passed on under another name, and against a length or
	// a seal that the server did not name so. It replaces the right line of its name.
	@ParameterizedTest
	@ValueSource(strings = { "x-own field: v", "x-own\tfield: v", "x-own : v", "x-own\t: v", " x-own: v", "\tx-own: v",
			": v", "no colon", "x-o\u0001wn: v", "x-o\u0000wn: v", "x-own\u007f: v", "x-own: a\u0001b",
			"x-own: a\u0000b", "seal : s", "seal\t: s", "seal: s\u0001", " seal: s", "id : ID", "content-length : 2",
			"content-length\t: 2", "content length: 2", "transfer-encoding : chunked", " content-length: 2",
			"x-own: a\r\n b", "x-own: a\r\n\tb: c", "x-own: a\r\n content-length: 2" })
	@Timeout(30)
	void fieldThatIsMalformed(String field) throws Exception {
		String name = field.strip().split("[ \t:]", 2)[0];
		for (String order : List.of("first", "last")) {
			String others = FIELDS.substring(2).replaceFirst(name + ": .*\r\n", "");
			String fields = order.equals("first") ? field + "\r\n" + others : others + field + "\r\n";
			assertRefused("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + EVENT);
		}
	}

	// Guards against a body that is not the server's, and against trailers whose names
	// are malformed.
	@ParameterizedTest
	@ValueSource(strings = { "5 5\r\nid: 1|", "F x\r\nE|0\r\n\r\n", "Fx\r\nE|0\r\n\r\n", " F\r\nE|0\r\n\r\n",
			"F ;a\u0001\r\nE|0\r\n\r\n", "-F\r\nE|0\r\n\r\n", "0xF\r\nE|0\r\n\r\n", "\r\nE|0\r\n\r\n",
			"100000000F\r\nE|0\r\n\r\n", "F\r\nEmore|0\r\n\r\n", "F\r\nE|0 0\r\n\r\n",
			"F\r\nE|0\r\nx-own field: v\r\n\r\n", "F\r\nE|0\r\nx-own : v\r\n\r\n", "F\r\nE|0\r\n x-own: v\r\n\r\n",
			"F\r\nE|0\r\nx: a\r\n b\r\n\r\n", "F\r\nE|0\r\nno colon\r\n\r\n", "F\r\nE|0\r\nx-o\u0001wn: v\r\n\r\n",
			"F\r\nE|0\r\nx: a\u0001b\r\n\r\n" })
	@Timeout(30)
	void chunkOrTrailerThatIsMalformed(String body) throws Exception {
		String chunks = body.replace("E|", EVENT + "\r\n")
			.replace("Emore|", EVENT + "more\r\n")
			.replace("|", "\r\n0\r\n\r\n");
		String answer = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n" + chunks;
		for (boolean throughHost : List.of(false, true)) {
			try (GatewayFixture fixture = answering(throughHost, answer)) {
				for (String path : List.of("/safe/x", "/once/x")) {
					assertThat(fixture.exchange(path, "")).as(path).startsWith("HTTP/1.1 502 ");
				}
				assertUnreadable(fixture, 3);
			}
		}
	}

	// A stream has begun when the bytes behind its first event turn out to be malformed.
	@ParameterizedTest
	@ValueSource(strings = { "5 5\r\nid: 2\r\n0\r\n\r\n", "0\r\nx-own : v\r\n\r\n" })
	@Timeout(30)
	void streamWithAMalformedRestIsBrokenOff(String rest) throws Exception {
		String answer = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\nF\r\n" + EVENT
				+ "\r\n" + rest;
		try (GatewayFixture fixture = answering(false, answer); GatewayFixture.Client client = fixture.connect()) {
			client.send("/firm/x", "");
			assertThat(client.readToEnd()).doesNotContain("\r\n0\r\n\r\n");
		}
	}

	// Guards against a body that is passed on in a coding that its head no longer names.
	@ParameterizedTest
	@ValueSource(strings = { "gzip", "x", "chunked, gzip", "gzip, chunked", "chunked, chunked", "", "identity, chunked",
			"chunked\r\ntransfer-encoding: gzip" })
	@Timeout(30)
	void transferCodingThatIsNotKnown(String codings) throws Exception {
		String head = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: " + codings + "\r\n\r\n";
		assertRefused(head + EVENT);
		assertRefused(head + "F\r\n" + EVENT + "\r\n0\r\n\r\n");
	}

	// Guards against a success that bears no server's signature.
	@ParameterizedTest
	@ValueSource(strings = { "seal:", "seal: ", "seal: \t " })
	@Timeout(30)
	void signatureWithoutText(String field) throws Exception {
		for (int status : List.of(200, 404, 500)) {
			String answer = "HTTP/1.1 " + status + " X\r\nid: ID\r\n" + field + "\r\ncontent-length: 15\r\n\r\n"
					+ EVENT;
			try (GatewayFixture fixture = answering(false, answer)) {
				for (String path : List.of("/safe/x", "/once/x", "/firm/x")) {
					String response = fixture.exchange(path, "");
					assertThat(response).as(path).startsWith("HTTP/1.1 502 ");
					assertThat(RawHttp.header(response, "seal")).as(path).isNull();
				}
			}
		}
	}

}
