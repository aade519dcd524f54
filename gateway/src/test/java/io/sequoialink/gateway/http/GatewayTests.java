package io.sequoialink.gateway.http;

import java.io.IOException;
import java.net.SocketException;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The data path over loopback against backend servers that misbehave in each known way.
 */
class GatewayTests {

	private static final String HELLO = "hello\n\n";

	private static final ScriptedServer.Script GOOD = (call) -> call.whole(200, "seal: s\r\nx-own: 1\r\n", HELLO);

	private static String event(int id) {
		return "id: " + id + "\ndata: d" + id + "\n\n";
	}

	@Test
	void aWholeAnswerIsHandedOnUnchanged() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.before(GOOD)) {
			String answer = fixture.exchange("/safe/x?q=1", "");
			assertThat(RawHttp.status(answer)).isEqualTo(200);
			assertThat(RawHttp.body(answer)).isEqualTo(HELLO);
			assertThat(RawHttp.header(answer, "seal")).isEqualTo("s");
			assertThat(RawHttp.header(answer, "x-own")).isEqualTo("1");
			String request = fixture.server(1).requests().get(0);
			assertThat(request).startsWith("GET /safe/x?q=1 HTTP/1.1\r\n");
			assertThat(RawHttp.header(request, "account")).isEqualTo("acme");
			assertThat(RawHttp.header(request, "key")).isNull();
			assertThat(RawHttp.header(request, "server")).isEqualTo("s1");
		}
	}

	static Stream<Arguments> spoiledAnswers() {
		return Stream.of(spoiled("cut before its end", (call) -> {
			call.write("HTTP/1.1 200 OK\r\nid: " + call.header("id") + "\r\nseal: s\r\ncontent-length: 50\r\n\r\nhel");
			call.end();
		}), spoiled("reset", ScriptedServer.Call::reset), spoiled("no answer at all", ScriptedServer.Call::end),
				spoiled("bytes that are no answer", (call) -> call.write("what is this\r\n\r\n")),
				spoiled("no signature", (call) -> call.whole(200, "", "hello")),
				spoiled("an encoding that nobody asked for",
						(call) -> call.whole(200, "seal: s\r\ncontent-encoding: gzip\r\n", "hello")),
				spoiled("no length and a reset", (call) -> {
					call.write("HTTP/1.1 200 OK\r\nid: " + call.header("id") + "\r\nseal: s\r\n\r\nhel");
					sleep(50);
					call.reset();
				}), spoiled("a cut chunk", (call) -> {
					call.streamHead("");
					call.write("10\r\nhel");
					call.end();
				}));
	}

	private static Arguments spoiled(String name, ScriptedServer.Script script) {
		return Arguments.of(name, script);
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("spoiledAnswers")
	void anIdempotentRequestIsRepeatedElsewhereAfter(String name, ScriptedServer.Script spoiled) throws Exception {
		ScriptedServer.Script once = firstOnly(spoiled);
		try (GatewayFixture fixture = GatewayFixture.before(once, once)) {
			String answer = fixture.exchange("/safe/x", "");
			assertThat(RawHttp.status(answer)).isEqualTo(200);
			assertThat(RawHttp.body(answer)).isEqualTo(HELLO);
			assertThat(fixture.runs()).isEqualTo(2);
		}
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("spoiledAnswers")
	void workThatMayNotBeRepeatedRunsOnceAndItsOutcomeIsUnknownAfter(String name, ScriptedServer.Script spoiled)
			throws Exception {
		try (GatewayFixture fixture = GatewayFixture.before(spoiled, spoiled)) {
			String answer = fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(answer)).isEqualTo(502);
			assertThat(RawHttp.header(answer, "seal")).isNull();
			assertThat(fixture.runs()).isEqualTo(1);
		}
	}

	// The first request over both servers is spoiled, all others are answered well.
	static ScriptedServer.Script firstOnly(ScriptedServer.Script first) {
		java.util.concurrent.atomic.AtomicBoolean used = new java.util.concurrent.atomic.AtomicBoolean();
		return (call) -> {
			if (used.compareAndSet(false, true)) {
				first.answer(call);
			}
			else {
				GOOD.answer(call);
			}
		};
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/firm/x" })
	void whatAServerDidNotRunIsSentToAnother(String path) throws Exception {
		ScriptedServer.Script full = firstOnly((call) -> call.whole(503, "not-run: 1\r\n", "full"));
		try (GatewayFixture fixture = GatewayFixture.before(full, full)) {
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			assertThat(fixture.runs()).isEqualTo(2);
		}
	}

	// Three servers that took no connection were a refusal within 2 ms, though others
	// would have served the request.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void serversThatTakeNoConnectionCostARequestNothingWhileOneServes(String path) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.before(GOOD, GOOD, GOOD, GOOD, GOOD, GOOD)) {
			for (int number = 1; number <= 5; number++) {
				fixture.server(number).refuseConnections();
			}
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			assertThat(fixture.runs()).isEqualTo(1);
		}
	}

	@Test
	void whatNoServerRanIsRefusedWithATimeToComeBack() throws Exception {
		ScriptedServer.Script full = (call) -> call.whole(503, "not-run: 1\r\n", "full");
		try (GatewayFixture fixture = GatewayFixture.before(full, full)) {
			String answer = fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(answer)).isEqualTo(503);
			assertThat(Double.parseDouble(RawHttp.header(answer, "retry-after"))).isPositive();
		}
	}

	@Test
	void aFailureThatAServerSignedIsHandedOn() throws Exception {
		ScriptedServer.Script failing = (call) -> call.whole(500, "seal: s\r\n", "broken");
		try (GatewayFixture fixture = GatewayFixture.before(failing, failing)) {
			String answer = fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(answer)).isEqualTo(500);
			assertThat(RawHttp.body(answer)).isEqualTo("broken");
			assertThat(fixture.runs()).isEqualTo(1);
		}
	}

	@Test
	void aSecondAnswerThatArrivesLateIsNotTakenForTheNextRequests() throws Exception {
		ScriptedServer.Script extra = (call) -> {
			String stale = "HTTP/1.1 200 OK\r\nid: r-stale\r\nseal: s\r\ncontent-length: 5\r\n\r\nstale";
			if (call.number() > 1) {
				call.write(stale);
			}
			GOOD.answer(call);
		};
		try (GatewayFixture fixture = GatewayFixture.before(extra)) {
			for (int i = 0; i < 4; i++) {
				assertThat(RawHttp.body(fixture.exchange("/safe/x", ""))).isEqualTo(HELLO);
			}
		}
	}

	@Test
	void workThatMayNotBeRepeatedIsNeverSentOnAUsedConnection() throws Exception {
		ScriptedServer.Script onlyFresh = (call) -> {
			GOOD.answer(call);
			call.waitUntilCallerLeaves();
		};
		try (GatewayFixture fixture = GatewayFixture.before(onlyFresh)) {
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
		}
	}

	@Test
	void aStreamCutWithinAnEventGoesOnAtAnotherServerWithoutGapOrDouble() throws Exception {
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
		try (GatewayFixture fixture = GatewayFixture.before(stream, stream)) {
			String answer = fixture.exchange("/stream/x", "");
			assertThat(RawHttp.body(answer)).isEqualTo(event(1) + event(2) + event(3) + event(4) + event(5));
			assertThat(fixture.runs()).isEqualTo(2);
		}
	}

	@Test
	void aStreamThatCannotGoOnLooksCut() throws Exception {
		ScriptedServer.Script stream = (call) -> {
			call.streamHead("");
			call.chunk(event(1));
			call.reset();
		};
		try (GatewayFixture fixture = GatewayFixture.before(stream, stream)) {
			assertThat(endsCut(fixture, "/firm/x")).isTrue();
			assertThat(fixture.runs()).isEqualTo(1);
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
	void aDoubtfulAnswerOfASmallModelGivesWayBeforeTheClientSeesAnyOfIt() throws Exception {
		ScriptedServer.Script sized = (call) -> {
			boolean small = "small".equals(call.header("model"));
			call.streamHead("confidence: " + (small ? 5 : 95) + "\r\nx-model: " + call.header("model") + "\r\n");
			call.chunk(event(1));
			if (small) {
				call.waitUntilCallerLeaves();
				return;
			}
			call.endChunks();
		};
		try (GatewayFixture fixture = GatewayFixture.before(sized)) {
			String answer = fixture.exchange("/sized/x", "");
			assertThat(RawHttp.header(answer, "x-model")).isEqualTo("large");
			assertThat(RawHttp.body(answer)).isEqualTo(event(1));
			assertThat(fixture.server(1).callerLeftWithin(1000)).isTrue();
		}
	}

	// A server whose health is good but which answers nothing.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/stream/x" })
	void aSilentServerIsLeftForAnotherIfTheWorkMayBeRepeated(String path) throws Exception {
		ScriptedServer.Script silent = firstOnly(ScriptedServer.Call::waitUntilCallerLeaves);
		try (GatewayFixture fixture = GatewayFixture.before(silent, silent)) {
			long began = System.nanoTime();
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			assertThat((System.nanoTime() - began) / 1_000_000).isLessThan(2500);
		}
	}

	@Test
	void aSilentServerIsAvoidedAndWorkThatMayNotBeRepeatedWaitsForItAlone() throws Exception {
		ScriptedServer.Script silent = ScriptedServer.Call::waitUntilCallerLeaves;
		try (GatewayFixture fixture = GatewayFixture.before(silent); GatewayFixture.Client client = fixture.connect()) {
			client.send("/once/x", "deadline: 900\r\n");
			assertThat(RawHttp.status(client.read())).isEqualTo(504);
			assertThat(fixture.runs()).isEqualTo(1);
		}
	}

	@Test
	void theServerIsLeftAtOnceWhenTheClientLeaves() throws Exception {
		ScriptedServer.Script slow = ScriptedServer.Call::waitUntilCallerLeaves;
		try (GatewayFixture fixture = GatewayFixture.before(slow)) {
			try (GatewayFixture.Client client = fixture.connect()) {
				client.send("/safe/x", "");
				sleep(100);
				assertThat(fixture.runs()).isEqualTo(1);
			}
			assertThat(fixture.server(1).callerLeftWithin(500)).isTrue();
		}
	}

	@Test
	void aRequestThatOutlastsItsRouteIsAnsweredAtOnceAndItsServerIsLeft() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.before(ScriptedServer.Call::waitUntilCallerLeaves)) {
			long began = System.nanoTime();
			String answer = fixture.exchange("/brief/x", "");
			assertThat(RawHttp.status(answer)).isEqualTo(504);
			assertThat((System.nanoTime() - began) / 1_000_000).isBetween(250L, 800L);
			assertThat(fixture.server(1).callerLeftWithin(500)).isTrue();
		}
	}

	@Test
	void theTimeThatIsLeftIsPassedOn() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.before(GOOD)) {
			fixture.exchange("/safe/x", "deadline: 700\r\n");
			String passed = RawHttp.header(fixture.server(1).requests().get(0), "deadline");
			assertThat(Integer.parseInt(passed)).isBetween(400, 700);
		}
	}

	static Stream<Arguments> improperRequests() {
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
	@MethodSource("improperRequests")
	void anImproperRequestIsAnsweredAndNeverSentOn(String name, String request, int status) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.before(GOOD); GatewayFixture.Client client = fixture.connect()) {
			client.raw(request);
			assertThat(RawHttp.status(client.read())).isEqualTo(status);
			assertThat(fixture.runs()).isZero();
		}
	}

	@Test
	void requestsOnOneConnectionAreAnsweredInTheirOrder() throws Exception {
		ScriptedServer.Script echo = (call) -> call.whole(200, "seal: s\r\n", call.header("x-echo"));
		try (GatewayFixture fixture = GatewayFixture.before(echo); GatewayFixture.Client client = fixture.connect()) {
			client.send("/safe/x", "x-echo: one\r\n");
			client.send("/safe/x", "x-echo: two\r\n");
			assertThat(RawHttp.body(client.read())).isEqualTo("one");
			assertThat(RawHttp.body(client.read())).isEqualTo("two");
		}
	}

	@Test
	void aRequestWithinABodyIsNotARequest() throws Exception {
		String inner = "GET /safe/inner HTTP/1.1\r\nHost: h.example\r\nid: inner\r\nkey: k\r\n\r\n";
		try (GatewayFixture fixture = GatewayFixture.before(GOOD); GatewayFixture.Client client = fixture.connect()) {
			client.raw("POST /safe/x HTTP/1.1\r\nHost: h.example\r\nid: r\r\nkey: k\r\ncontent-length: "
					+ inner.length() + "\r\n\r\n" + inner);
			assertThat(RawHttp.status(client.read())).isEqualTo(200);
			assertThat(fixture.runs()).isEqualTo(1);
			assertThat(RawHttp.body(fixture.server(1).requests().get(0))).isEqualTo(inner);
		}
	}

	@Test
	void aRequestOfTheFirstMomentWaitsForTheConfiguration() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.closed(GOOD); GatewayFixture.Client client = fixture.connect()) {
			client.send("/safe/x", "");
			sleep(150);
			fixture.open();
			assertThat(RawHttp.status(client.read())).isEqualTo(200);
		}
	}

	@Test
	void aHostThatLearnsNoConfigurationRefusesWithATimeToComeBack() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.closed(GOOD)) {
			String answer = fixture.exchange("/safe/x", "");
			assertThat(RawHttp.status(answer)).isEqualTo(503);
			assertThat(RawHttp.header(answer, "retry-after")).isNotNull();
		}
	}

	@Test
	void aKeptConnectionIsClosedAfterItsAnswerOnceTheHostDrains() throws Exception {
		ScriptedServer.Script slow = (call) -> {
			call.streamHead("");
			call.chunk(event(1));
			sleep(300);
			call.endChunks();
		};
		try (GatewayFixture fixture = GatewayFixture.before(slow); GatewayFixture.Client client = fixture.connect()) {
			client.send("/stream/x", "");
			sleep(100);
			fixture.onLoop(fixture.front()::drain);
			assertThat(RawHttp.body(client.read())).isEqualTo(event(1));
			assertThat(client.readByte()).isEqualTo(-1);
		}
	}

	@Test
	void anIdleConnectionIsClosedAfterItsTime() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.before(GOOD); GatewayFixture.Client client = fixture.connect()) {
			client.send("/safe/x", "");
			client.read();
			long began = System.nanoTime();
			assertThat(client.readByte()).isEqualTo(-1);
			assertThat((System.nanoTime() - began) / 1_000_000).isBetween(1300L, 3000L);
		}
	}

	@Test
	void aSlowClientHoldsBackTheServerInsteadOfFillingMemory() throws Exception {
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
		try (GatewayFixture fixture = GatewayFixture.before(endless);
				GatewayFixture.Client client = fixture.connect()) {
			client.send("/stream/x", "");
			sleep(800);
			assertThat(written[0]).as("chunks of 200 KB taken without a reader").isLessThan(100);
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
