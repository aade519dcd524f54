package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;

import io.sequoialink.gateway.place.ResponseNotice;
import io.sequoialink.gateway.place.ServerState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Notices in servers' responses, over loopback: a shutdown, or a time during which the
 * server wants no requests.
 */
class ServerNoticeTests {

	private static final ScriptedServer.Script GOOD = (call) -> call.respond(200, "seal: s\r\n", "hello");

	static Stream<Arguments> responsesAnnouncingShutdown() {
		return Stream.of(
				Arguments.of("/safe/x",
						(ScriptedServer.Script) (call) -> call.respond(200, "seal: s\r\nleaving: 1\r\n", "hello")),
				Arguments.of("/safe/x",
						(ScriptedServer.Script) (call) -> call.respond(503, "not-run: 1\r\nleaving: 1\r\n", "")),
				Arguments.of("/once/x",
						(ScriptedServer.Script) (call) -> call.respond(500, "seal: s\r\nleaving: 1\r\n", "failed")),
				Arguments.of("/stream/x", (ScriptedServer.Script) (call) -> {
					call.streamHead("leaving: 1\r\n");
					call.chunk("id: 1\ndata: d\n\n");
					call.endChunks();
				}));
	}

	@ParameterizedTest
	@MethodSource("responsesAnnouncingShutdown")
	void noRequestIsSentAfterAShutdownNotice(String path, ScriptedServer.Script leaving) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(leaving)) {
			fixture.exchange(path, "");
			for (int i = 0; i < 3; i++) {
				assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(503);
			}
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	// A report that is counted but breaks its response would fail every request to such a
	// server.
	@Test
	void aMalformedLoadReportIsCountedAndTheResponseForwarded() throws Exception {
		try (GatewayFixture fixture = GatewayFixture
			.withServers((call) -> call.respond(200, "seal: s\r\nbad-load: 1\r\n", "hello"))) {
			assertThat(fixture.exchange("/safe/x", "")).endsWith("hello");
			assertThat(fixture.counts().ignoredLoadReports().counts().values()).containsExactly(1L);
			assertThat(fixture.table().reportsSlowdown("svc")).isFalse();
		}
	}

	// A response with status 421 comes from another server, which may be of another
	// service.
	@ParameterizedTest
	@ValueSource(ints = { 200, 500, 421 })
	void aServiceReportsSlowdownFromTheFirstReportOfItsServers(int status) throws Exception {
		try (GatewayFixture fixture = GatewayFixture
			.withServers((call) -> call.respond(status, "seal: s\r\nslowdown: 400\r\n", "hello"))) {
			assertThat(fixture.table().reportsSlowdown("svc")).isFalse();
			fixture.exchange("/once/x", "");
			assertThat(fixture.table().reportsSlowdown("svc")).isEqualTo(status != 421);
		}
	}

	// Memory that an ended request still held would make its server look full for good.
	@ParameterizedTest
	@ValueSource(strings = { "complete", "failed", "lost" })
	void aRequestHoldsMemoryOfItsServerUntilItEnds(String end) throws Exception {
		ScriptedServer.Script script = (call) -> {
			if (end.equals("complete")) {
				call.streamHead("slowdown: 100\r\n");
				call.chunk("id: 1\ndata: d\n\n");
				call.endChunks();
			}
			else if (end.equals("lost")) {
				call.write("HTTP/1.1 500 X\r\nid: " + call.header("id")
						+ "\r\nseal: s\r\nslowdown: 100\r\ncontent-length: 9\r\n\r\n");
				call.close();
			}
			else {
				call.respond(500, "seal: s\r\nslowdown: 100\r\n", "failed");
			}
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			List<Double> held = new CopyOnWriteArrayList<>();
			fixture.afterChoice((placed) -> held.add(placed.heldTokens()));
			fixture.exchange("/stream/x", "model: m\r\nlength-hint: 70\r\n");
			fixture.exchange("/stream/x", "model: m\r\nlength-hint: 70\r\n");
			assertThat(held).startsWith(0.0).endsWith(70.0);
			assertThat(fixture.table().find("s1").orElseThrow().memory().occupiedTokens(0, System.nanoTime())).isZero();
		}
	}

	private static String leavingResponse(String id) {
		return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\nleaving: 1\r\ncontent-length: 1\r\n\r\nx";
	}

	// A late response to an earlier request still comes from the same server.
	@Test
	void shutdownNoticeInALateResponseCounts() throws Exception {
		AtomicReference<String> earlier = new AtomicReference<>();
		ScriptedServer.Script late = (call) -> {
			if (!earlier.compareAndSet(null, call.header("id"))) {
				call.write(leavingResponse(earlier.get()));
			}
			GOOD.respond(call);
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(late)) {
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(503);
			assertThat(fixture.attemptCount()).isEqualTo(2);
		}
	}

	// A response that can't be attributed ends its attempt, but comes from that server.
	@Test
	void shutdownNoticeInAResponseToAnUnknownRequestCounts() throws Exception {
		ScriptedServer.Script unknown = (call) -> {
			call.write(leavingResponse("other"));
			GOOD.respond(call);
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(unknown)) {
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(502);
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(503);
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	// The notice arrives after the server was chosen and before the connection to it
	// is open.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void requestWaitingForItsConnectionIsNotWrittenAfterAShutdownNotice(String path) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(ServerNoticeTests::respondByPath,
				ServerNoticeTests::respondByPath)) {
			AtomicBoolean said = new AtomicBoolean();
			fixture.afterChoice((placed) -> {
				if (said.compareAndSet(false, true)) {
					fixture.table()
						.notices()
						.received(placed.server().entry(), new ResponseNotice(true, OptionalLong.empty()));
				}
			});
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			assertThat(said).isTrue();
			assertThat(fixture.attemptCount()).isEqualTo(1);
			assertThat(fixture.server(1).requests().isEmpty() || fixture.server(2).requests().isEmpty()).isTrue();
			fixture.onLoop(() -> assertThat(fixture.table().usableServers("svc")).hasSize(1)
				.allMatch((left) -> !fixture.server(number(left)).requests().isEmpty()));
		}
	}

	private static void respondByPath(ScriptedServer.Call call) throws IOException {
		if (!call.path().startsWith("/stream/")) {
			GOOD.respond(call);
			return;
		}
		call.streamHead("");
		call.chunk("id: 1\ndata: d\n\n");
		call.endChunks();
	}

	private static int number(ServerState server) {
		return Integer.parseInt(server.entry().id().substring(1));
	}

	@Test
	void noticeOfAMisdirectedRequestIsNotAttributed() throws Exception {
		ScriptedServer.Script other = GatewayTests.firstOnly((call) -> call.respond(421, "leaving: 1\r\n", ""));
		try (GatewayFixture fixture = GatewayFixture.withServers(other)) {
			fixture.exchange("/safe/x", "");
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
		}
	}

	@Test
	void requestRejectedWithABackoffIsSentToAnotherServer() throws Exception {
		ScriptedServer.Script full = (call) -> call.respond(503, "not-run: 1\r\nspare: 20000\r\n", "");
		try (GatewayFixture fixture = GatewayFixture.withServers(full, GOOD)) {
			for (int i = 0; i < 10; i++) {
				assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
			}
			assertThat(fixture.server(1).requests()).hasSizeLessThanOrEqualTo(1);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void requestsAreRejectedWhileAllServersBackOff(String path) throws Exception {
		ScriptedServer.Script full = (call) -> call.respond(503, "not-run: 1\r\nspare: 20000\r\n", "");
		try (GatewayFixture fixture = GatewayFixture.withServers(full, full)) {
			fixture.exchange(path, "");
			for (int i = 0; i < 10; i++) {
				String response = fixture.exchange(path, "");
				assertThat(RawHttp.status(response)).isEqualTo(503);
				assertThat(Double.parseDouble(RawHttp.header(response, "retry-after"))).isBetween(19.0, 22.0);
			}
			assertThat(fixture.attemptCount()).isEqualTo(2);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 200, 429, 500 })
	void backoffIsIgnoredWithoutStatus503(int status) throws Exception {
		ScriptedServer.Script other = GatewayTests
			.firstOnly((call) -> call.respond(status, "seal: s\r\nspare: 20000\r\n", ""));
		try (GatewayFixture fixture = GatewayFixture.withServers(other)) {
			fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
		}
	}

	@Test
	void runningRequestsCompleteAfterAShutdownNotice() throws Exception {
		CountDownLatch leaving = new CountDownLatch(1);
		ScriptedServer.Script script = (call) -> {
			if (call.path().endsWith("/slow")) {
				await(leaving);
				call.respond(200, "seal: s\r\n", "hello");
			}
			else {
				call.respond(200, "seal: s\r\nleaving: 1\r\n", "hello");
				leaving.countDown();
			}
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script);
				GatewayFixture.Client slow = fixture.connect()) {
			slow.send("/safe/slow", "");
			while (fixture.attemptCount() == 0) {
				Thread.sleep(5);
			}
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			assertThat(RawHttp.status(slow.read())).isEqualTo(200);
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(503);
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			assertThat(latch.await(5, TimeUnit.SECONDS)).isTrue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
