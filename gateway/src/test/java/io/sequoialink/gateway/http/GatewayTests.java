package io.sequoialink.gateway.http;

import java.io.IOException;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The data path over loopback with backend servers that misbehave in each known way.
 */
class GatewayTests {

	private static final String HELLO = "hello\n\n";

	private static final ScriptedServer.Script GOOD = (call) -> call.respond(200, "seal: s\r\nx-own: 1\r\n", HELLO);

	private static String event(int id) {
		return "id: " + id + "\ndata: d" + id + "\n\n";
	}

	@Test
	void completeResponseIsForwardedUnchanged() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD)) {
			String response = fixture.exchange("/safe/x?q=1", "");
			assertThat(RawHttp.status(response)).isEqualTo(200);
			assertThat(RawHttp.body(response)).isEqualTo(HELLO);
			assertThat(RawHttp.header(response, "seal")).isEqualTo("s");
			assertThat(RawHttp.header(response, "x-own")).isEqualTo("1");
			String request = fixture.server(1).requests().get(0);
			assertThat(request).startsWith("GET /safe/x?q=1 HTTP/1.1\r\n");
			assertThat(RawHttp.header(request, "account")).isEqualTo("acme");
			assertThat(RawHttp.header(request, "key")).isNull();
			assertThat(RawHttp.header(request, "server")).isEqualTo("s1");
		}
	}

	static Stream<Arguments> invalidResponses() {
		return Stream.of(invalid("truncated body", (call) -> {
			call.write("HTTP/1.1 200 OK\r\nid: " + call.header("id") + "\r\nseal: s\r\ncontent-length: 50\r\n\r\nhel");
			call.close();
		}), invalid("reset", ScriptedServer.Call::reset), invalid("no response", ScriptedServer.Call::close),
				invalid("bytes that are not HTTP", (call) -> call.write("what is this\r\n\r\n")),
				invalid("no signature", (call) -> call.respond(200, "", "hello")),
				invalid("unrequested content encoding",
						(call) -> call.respond(200, "seal: s\r\ncontent-encoding: gzip\r\n", "hello")),
				invalid("no length, then a reset", (call) -> {
					call.write("HTTP/1.1 200 OK\r\nid: " + call.header("id") + "\r\nseal: s\r\n\r\nhel");
					sleep(50);
					call.reset();
				}), invalid("truncated chunk", (call) -> {
					call.streamHead("");
					call.write("10\r\nhel");
					call.close();
				}));
	}

	private static Arguments invalid(String name, ScriptedServer.Script script) {
		return Arguments.of(name, script);
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("invalidResponses")
	void idempotentRequestIsRetriedAtAnotherServerAfter(String name, ScriptedServer.Script invalidScript)
			throws Exception {
		ScriptedServer.Script once = firstOnly(invalidScript);
		try (GatewayFixture fixture = GatewayFixture.withServers(once, once)) {
			String response = fixture.exchange("/safe/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(200);
			assertThat(RawHttp.body(response)).isEqualTo(HELLO);
			assertThat(fixture.attemptCount()).isEqualTo(2);
		}
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("invalidResponses")
	void nonIdempotentRequestIsSentOnceAndItsOutcomeIsUnknownAfter(String name, ScriptedServer.Script invalidScript)
			throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(invalidScript, invalidScript)) {
			String response = fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(502);
			assertThat(RawHttp.header(response, "seal")).isNull();
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	// Runs the given script for the first request to any server; all others succeed.
	static ScriptedServer.Script firstOnly(ScriptedServer.Script first) {
		java.util.concurrent.atomic.AtomicBoolean used = new java.util.concurrent.atomic.AtomicBoolean();
		return (call) -> {
			if (used.compareAndSet(false, true)) {
				first.respond(call);
			}
			else {
				GOOD.respond(call);
			}
		};
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/firm/x" })
	void requestThatWasNotRunIsSentToAnotherServer(String path) throws Exception {
		ScriptedServer.Script full = firstOnly((call) -> call.respond(503, "not-run: 1\r\n", "full"));
		try (GatewayFixture fixture = GatewayFixture.withServers(full, full)) {
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			assertThat(fixture.attemptCount()).isEqualTo(2);
		}
	}

	// Guards against a rejection after three failed connections, which took only 2 ms,
	// although other servers could have run the request.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void unreachableServersDoNotFailARequestWhileOneServerIsUp(String path) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD, GOOD, GOOD, GOOD, GOOD, GOOD)) {
			for (int number = 1; number <= 5; number++) {
				fixture.server(number).refuseConnections();
			}
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	@Test
	void requestNotRunByAnyServerIsRejectedWithRetryAfter() throws Exception {
		ScriptedServer.Script full = (call) -> call.respond(503, "not-run: 1\r\n", "full");
		try (GatewayFixture fixture = GatewayFixture.withServers(full, full)) {
			String response = fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(503);
			assertThat(Double.parseDouble(RawHttp.header(response, "retry-after"))).isPositive();
		}
	}

	@Test
	void signedErrorResponseIsForwarded() throws Exception {
		ScriptedServer.Script failing = (call) -> call.respond(500, "seal: s\r\n", "broken");
		try (GatewayFixture fixture = GatewayFixture.withServers(failing, failing)) {
			String response = fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(500);
			assertThat(RawHttp.body(response)).isEqualTo("broken");
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	// The late response is that of the request before on the same connection, which is
	// not
	// kept after it.
	@Test
	void lateSecondResponseIsNotMatchedToTheNextRequest() throws Exception {
		AtomicReference<String> previous = new AtomicReference<>();
		ScriptedServer.Script extra = (call) -> {
			if (call.number() % 2 == 0) {
				call.write(
						"HTTP/1.1 200 OK\r\nid: " + previous.get() + "\r\nseal: s\r\ncontent-length: 5\r\n\r\nstale");
			}
			previous.set(call.header("id"));
			GOOD.respond(call);
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(extra)) {
			for (int i = 0; i < 4; i++) {
				assertThat(RawHttp.body(fixture.exchange("/safe/x", ""))).isEqualTo(HELLO);
			}
			assertThat(fixture.attemptCount()).isEqualTo(4);
		}
	}

	@Test
	void nonIdempotentRequestIsNeverSentOnAReusedConnection() throws Exception {
		ScriptedServer.Script onlyFresh = (call) -> {
			GOOD.respond(call);
			call.awaitClientClose();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(onlyFresh)) {
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
		}
	}

	@Test
	void streamInterruptedInsideAnEventResumesWithoutGapsOrDuplicates() throws Exception {
		ScriptedServer.Script stream = (call) -> {
			String last = call.header("last-event-id");
			call.streamHead("");
			if (last == null) {
				call.chunk(event(1) + event(2) + "id: 3\nda");
				call.reset();
				return;
			}
			for (int id = Integer.parseInt(last) + 1; id <= 5; id++) {
				call.chunk(event(id));
			}
			call.endChunks();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(stream, stream)) {
			String response = fixture.exchange("/stream/x", "");
			assertThat(RawHttp.body(response)).isEqualTo(event(1) + event(2) + event(3) + event(4) + event(5));
			assertThat(fixture.attemptCount()).isEqualTo(2);
		}
	}

	@Test
	void streamThatCannotBeResumedIsReset() throws Exception {
		ScriptedServer.Script stream = (call) -> {
			call.streamHead("");
			call.chunk(event(1));
			call.reset();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(stream, stream)) {
			assertThat(endsCut(fixture, "/firm/x")).isTrue();
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	private static boolean endsCut(GatewayFixture fixture, String path) throws IOException {
		try {
			return fixture.exchange(path, "").endsWith("<cut>");
		}
		catch (SocketException ex) {
			return true;
		}
	}

	@Test
	void lowConfidenceResponseIsReplacedBeforeAnyOfItIsForwarded() throws Exception {
		ScriptedServer.Script sized = (call) -> {
			boolean small = "small".equals(call.header("model"));
			call.streamHead("confidence: " + (small ? 5 : 95) + "\r\nx-model: " + call.header("model") + "\r\n");
			call.chunk(event(1));
			if (small) {
				call.awaitClientClose();
				return;
			}
			call.endChunks();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(sized)) {
			String response = fixture.exchange("/sized/x", "");
			assertThat(RawHttp.header(response, "x-model")).isEqualTo("large");
			assertThat(RawHttp.body(response)).isEqualTo(event(1));
			assertThat(fixture.server(1).clientClosedWithin(1000)).isTrue();
		}
	}

	// The server accepts connections and passes health checks but never responds.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/stream/x" })
	void silentServerIsReplacedIfTheRequestMayBeRetried(String path) throws Exception {
		ScriptedServer.Script silent = firstOnly(ScriptedServer.Call::awaitClientClose);
		try (GatewayFixture fixture = GatewayFixture.withServers(silent, silent)) {
			long began = System.nanoTime();
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			assertThat((System.nanoTime() - began) / 1_000_000).isLessThan(2500);
		}
	}

	@Test
	void nonIdempotentRequestKeepsWaitingForASilentServer() throws Exception {
		ScriptedServer.Script silent = ScriptedServer.Call::awaitClientClose;
		try (GatewayFixture fixture = GatewayFixture.withServers(silent);
				GatewayFixture.Client client = fixture.connect()) {
			client.send("/once/x", "deadline: 900\r\n");
			assertThat(RawHttp.status(client.read())).isEqualTo(504);
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	@Test
	void serverConnectionIsClosedWhenTheClientDisconnects() throws Exception {
		ScriptedServer.Script slow = ScriptedServer.Call::awaitClientClose;
		try (GatewayFixture fixture = GatewayFixture.withServers(slow)) {
			try (GatewayFixture.Client client = fixture.connect()) {
				client.send("/safe/x", "");
				sleep(100);
				assertThat(fixture.attemptCount()).isEqualTo(1);
			}
			assertThat(fixture.server(1).clientClosedWithin(500)).isTrue();
		}
	}

	@Test
	void requestTimesOutWithItsRouteAndItsServerConnectionIsClosed() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(ScriptedServer.Call::awaitClientClose)) {
			long began = System.nanoTime();
			String response = fixture.exchange("/brief/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(504);
			assertThat((System.nanoTime() - began) / 1_000_000).isBetween(250L, 800L);
			assertThat(fixture.server(1).clientClosedWithin(500)).isTrue();
		}
	}

	@Test
	void remainingTimeIsForwarded() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD)) {
			fixture.exchange("/safe/x", "deadline: 700\r\n");
			String passed = RawHttp.header(fixture.server(1).requests().get(0), "deadline");
			assertThat(Integer.parseInt(passed)).isBetween(400, 700);
		}
	}

	static Stream<Arguments> invalidRequests() {
		String head = " HTTP/1.1\r\nHost: h.example\r\nid: r\r\nkey: k\r\n";
		return Stream.of(Arguments.of("unknown route", "GET /none/x" + head + "\r\n", 404),
				Arguments.of("unknown key", "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nid: r\r\nkey: other\r\n\r\n",
						401),
				Arguments.of("no id", "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nkey: k\r\n\r\n", 400),
				Arguments.of("head too large", "GET /safe/x" + head + "x: " + "y".repeat(4000) + "\r\n\r\n", 431),
				Arguments.of("body too large", "POST /safe/x" + head + "content-length: 20000\r\n\r\n", 413),
				Arguments.of("length and chunks",
						"POST /safe/x" + head + "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
						400),
				Arguments.of("two lengths",
						"POST /safe/x" + head + "content-length: 4\r\ncontent-length: 5\r\n\r\nabcde", 400),
				Arguments.of("head that never ends", "GET /safe/x" + head, 408));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("invalidRequests")
	void invalidRequestIsRejectedAndNeverForwarded(String name, String request, int status) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD);
				GatewayFixture.Client client = fixture.connect()) {
			client.raw(request);
			assertThat(RawHttp.status(client.read())).isEqualTo(status);
			assertThat(fixture.attemptCount()).isZero();
		}
	}

	@Test
	void pipelinedRequestsAreAnsweredInOrder() throws Exception {
		ScriptedServer.Script echo = (call) -> call.respond(200, "seal: s\r\n", call.header("x-echo"));
		try (GatewayFixture fixture = GatewayFixture.withServers(echo);
				GatewayFixture.Client client = fixture.connect()) {
			client.send("/safe/x", "x-echo: one\r\n");
			client.send("/safe/x", "x-echo: two\r\n");
			assertThat(RawHttp.body(client.read())).isEqualTo("one");
			assertThat(RawHttp.body(client.read())).isEqualTo("two");
		}
	}

	@Test
	void requestInsideABodyIsNotInterpreted() throws Exception {
		String inner = "GET /safe/inner HTTP/1.1\r\nHost: h.example\r\nid: inner\r\nkey: k\r\n\r\n";
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD);
				GatewayFixture.Client client = fixture.connect()) {
			client.raw("POST /safe/x HTTP/1.1\r\nHost: h.example\r\nid: r\r\nkey: k\r\ncontent-length: "
					+ inner.length() + "\r\n\r\n" + inner);
			assertThat(RawHttp.status(client.read())).isEqualTo(200);
			assertThat(fixture.attemptCount()).isEqualTo(1);
			assertThat(RawHttp.body(fixture.server(1).requests().get(0))).isEqualTo(inner);
		}
	}

	@Test
	void requestDuringStartupWaitsForTheConfiguration() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withoutConfiguration(GOOD);
				GatewayFixture.Client client = fixture.connect()) {
			client.send("/safe/x", "");
			sleep(150);
			fixture.publishConfiguration();
			assertThat(RawHttp.status(client.read())).isEqualTo(200);
		}
	}

	@Test
	void hostWithoutConfigurationRejectsWithRetryAfter() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withoutConfiguration(GOOD)) {
			String response = fixture.exchange("/safe/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(503);
			assertThat(RawHttp.header(response, "retry-after")).isNotNull();
		}
	}

	@Test
	void keepAliveConnectionIsClosedAfterItsResponseWhileDraining() throws Exception {
		ScriptedServer.Script slow = (call) -> {
			call.streamHead("");
			call.chunk(event(1));
			sleep(300);
			call.endChunks();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(slow);
				GatewayFixture.Client client = fixture.connect()) {
			client.send("/stream/x", "");
			sleep(100);
			fixture.onLoop(() -> fixture.frontend().drain(5000));
			assertThat(RawHttp.body(client.read())).isEqualTo(event(1));
			assertThat(client.readByte()).isEqualTo(-1);
		}
	}

	@Test
	void idleConnectionIsClosedAfterTheIdleTimeout() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD);
				GatewayFixture.Client client = fixture.connect()) {
			client.send("/safe/x", "");
			client.read();
			long began = System.nanoTime();
			assertThat(client.readByte()).isEqualTo(-1);
			assertThat((System.nanoTime() - began) / 1_000_000).isBetween(1300L, 3000L);
		}
	}

	@Test
	void slowClientPausesReadingFromTheServer() throws Exception {
		String large = "id: 1\ndata: " + "x".repeat(200_000) + "\n\n";
		int[] written = new int[1];
		ScriptedServer.Script endless = (call) -> {
			call.streamHead("");
			for (int i = 0; i < 400; i++) {
				call.chunk(large);
				written[0]++;
			}
			call.endChunks();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(endless);
				GatewayFixture.Client client = fixture.connect()) {
			client.send("/stream/x", "");
			sleep(800);
			assertThat(written[0]).as("chunks of 200 KB read from the server while the client does not read")
				.isLessThan(100);
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

}
