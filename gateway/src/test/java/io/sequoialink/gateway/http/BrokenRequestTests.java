package io.sequoialink.gateway.http;

import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Clients whose requests break the syntax of the protocol, over loopback. Guards against
 * passing one on as another request than its sender means, or a second one that is
 * smuggled inside its body (UNASKED), and against losing right ones.
 */
class BrokenRequestTests {

	private static final String FIELDS = "Host: h.example\r\nid: r1\r\nkey: k\r\n";

	private static final String LINE = "POST /safe/x HTTP/1.1\r\n";

	private static final String SMUGGLED = "GET /safe/smuggled HTTP/1.1\r\nHost: h.example\r\nid: r2\r\nkey: k\r\n\r\n";

	private static void assertRefused(int status, String request) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers((call) -> call.respond(200, "seal: s\r\n", "served"));
				GatewayFixture.Client client = fixture.connect()) {
			client.raw(request + SMUGGLED);
			assertThat(client.readToEnd()).startsWith("HTTP/1.1 " + status + " ").containsOnlyOnce("HTTP/1.1 ");
			assertThat(fixture.attemptCount()).isZero();
		}
	}

	@ParameterizedTest
	@CsvSource(ignoreLeadingAndTrailingWhitespace = false,
			value = { "400, GET /safe/x HTTP/1.1", "400,\tGET /safe/x HTTP/1.1", "400,\u0001GET /safe/x HTTP/1.1",
					"400,GET /safe/x\u0001 HTTP/1.1", "400,GET /safe/\u0000x HTTP/1.1",
					"400,GET /safe/x\u007f HTTP/1.1", "400,G\u0001T /safe/x HTTP/1.1", "400,G(T /safe/x HTTP/1.1",
					"400,GET /safe/x y HTTP/1.1", "400,GET /safe/x", "400,GET /safe/x HTTP/1",
					"400,GET /safe/x http/1.1", "400,GET /safe/x ICY/1.1", "400,GET /safe/x HTTP/1.10",
					"505,GET /safe/x HTTP/2.0", "505,GET /safe/x HTTP/0.9", "505,GET /safe/x HTTP/3.1" })
	@Timeout(20)
	void firstLineThatIsNoRequestLine(int status, String line) throws Exception {
		assertRefused(status, line + "\r\n" + FIELDS + "\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "x y: 1", "x : 1", "x\t: 1", "x\u0001y: 1", "x: a\u0001b", ": 1", "no colon",
			"content-length : 5", "content-length: 5\r\ncontent-length: 6", "content-length: +5", "content-length: 5 5",
			"content-length: 5\r\ntransfer-encoding: chunked", "transfer-encoding : chunked" })
	@Timeout(20)
	void fieldThatIsMalformed(String field) throws Exception {
		assertRefused(400, LINE + FIELDS + field + "\r\n\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "5 5\r\nhello\r\n0\r\n\r\n", "5x\r\nhello\r\n0\r\n\r\n", " 5\r\nhello\r\n0\r\n\r\n",
			"100000005\r\nhello\r\n0\r\n\r\n", "5\r\nhellomore\r\n0\r\n\r\n", "5\r\nhello\r\n0 0\r\n\r\n",
			"5\r\nhello\r\n0\r\nx y: 1\r\n\r\n", "5\r\nhello\r\n0\r\nx : 1\r\n\r\n" })
	@Timeout(20)
	void chunkOrTrailerThatIsMalformed(String chunks) throws Exception {
		assertRefused(400, LINE + FIELDS + "transfer-encoding: chunked\r\n\r\n" + chunks);
	}

	// Guards against a body that is read as the next request, as its length is unknown.
	@ParameterizedTest
	@CsvSource({ "400, x", "400, gzip", "400, identity", "400, 'chunked, gzip'", "400, 'chunked, chunked'", "400, ''",
			"400, ','", "400, xchunked", "400, 'chunked;q=1'", "501, 'gzip, chunked'", "501, 'x, Chunked'" })
	@Timeout(20)
	void transferCodingThatIsNotKnown(int status, String codings) throws Exception {
		assertRefused(status, LINE + FIELDS + "transfer-encoding: " + codings + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
		assertRefused(status, LINE + FIELDS + "transfer-encoding: " + codings + "\r\n\r\n");
	}

	@Test
	@Timeout(20)
	void transferCodingsInSeveralFields() throws Exception {
		assertRefused(400, LINE + FIELDS + "transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n\r\n");
		assertRefused(400, LINE + FIELDS + "transfer-encoding: x\r\ncontent-length: 5\r\n\r\nhello");
	}

	static Stream<Arguments> rightRequests() {
		String chunked = LINE + FIELDS + "transfer-encoding: chunked\r\n\r\n";
		return Stream.of(Arguments.of("length", LINE + FIELDS + "content-length: 5\r\n\r\nhello"),
				Arguments.of("chunks", chunked + "5\r\nhello\r\n0\r\n\r\n"),
				Arguments.of("chunk extensions, padded sizes, trailers",
						(chunked + "0002;a=\"b c\"\r\nhe\r\n3  \r\nllo\r\n0 ; z\r\nx-sum: 1\r\n\r\n")
							.replace("encoding: c", "Encoding: C")),
				Arguments.of("empty element in a list",
						LINE + FIELDS + "transfer-encoding: ,chunked,\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
				Arguments.of("empty lines before", "\r\n\r\n" + LINE + FIELDS + "content-length: 5\r\n\r\nhello"),
				Arguments.of("repeated blanks",
						"POST  /safe/x  HTTP/1.1\r\n" + FIELDS + "content-length: 5\r\n\r\nhello"),
				Arguments.of("version 1.0",
						"POST /safe/x HTTP/1.0\r\nconnection: keep-alive\r\n" + FIELDS
								+ "content-length: 5\r\n\r\nhello"),
				Arguments.of("version 1.2", "POST /safe/x HTTP/1.2\r\n" + FIELDS + "content-length: 5\r\n\r\nhello"),
				Arguments.of("folded field", LINE + FIELDS + "x: a\r\n b\r\n\tc\r\ncontent-length: 5\r\n\r\nhello"),
				Arguments.of("bytes above 127", LINE + FIELDS + "x: \u00e4\u00ff\r\ncontent-length: 5\r\n\r\nhello"));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("rightRequests")
	@Timeout(20)
	void rightRequestIsServedAndTheNextToo(String name, String request) throws Exception {
		try (GatewayFixture fixture = GatewayFixture
			.withServers((call) -> call.respond(200, "seal: s\r\n", call.body()));
				GatewayFixture.Client client = fixture.connect()) {
			client.raw(request + SMUGGLED);
			assertThat(RawHttp.body(client.read())).isEqualTo("hello");
			assertThat(RawHttp.status(client.read())).isEqualTo(200);
			assertThat(fixture.server(1).requests().get(1)).startsWith("GET /safe/smuggled HTTP/1.1\r\n");
		}
	}

}
