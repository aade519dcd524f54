package io.sequoialink.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Golden files of the log lines of whole requests: one for each way in which a request
 * ends, each with exactly one final line. Names and times that differ from run to run are
 * replaced.
 */
class SessionLogTests {

	private static final String FINAL_LINE = "SL-3101";

	private static final String NOT_A_CRASH = "SL-3404";

	private final Logger logger = (Logger) LoggerFactory.getLogger("io.sequoialink.gateway.http");

	private final ListAppender<ILoggingEvent> lines = new ListAppender<>();

	@BeforeEach
	void listen() {
		this.logger.setLevel(Level.INFO);
		this.lines.start();
		this.logger.addAppender(this.lines);
	}

	@AfterEach
	void stopListening() {
		this.logger.detachAppender(this.lines);
	}

	private static void whole(ScriptedServer.Call call) throws IOException {
		call.whole(200, "seal: s\r\n", "hello");
	}

	private static void event(ScriptedServer.Call call, int number) throws IOException {
		call.chunk("id: " + number + "\ndata: x\n\n");
	}

	private static void sized(ScriptedServer.Call call) throws IOException {
		boolean small = "small".equals(call.header("model"));
		call.streamHead("confidence: " + (small ? 5 : 95) + "\r\n");
		event(call, 1);
		if (small) {
			call.waitUntilCallerLeaves();
			return;
		}
		call.endChunks();
	}

	private static void cutOnce(ScriptedServer.Call call) throws IOException {
		call.streamHead("");
		if (call.header("last-event-id") == null) {
			event(call, 1);
			call.reset();
			return;
		}
		event(call, 2);
		call.endChunks();
	}

	private static void endless(ScriptedServer.Call call) throws IOException {
		call.streamHead("");
		event(call, 1);
		call.waitUntilCallerLeaves();
	}

	static Stream<Arguments> requests() {
		ScriptedServer.Script fails = (call) -> call.whole(500, "seal: s\r\n", "broken");
		ScriptedServer.Script full = (call) -> call.whole(503, "not-run: 1\r\n", "");
		ScriptedServer.Script cuts = (call) -> {
			call.streamHead("");
			event(call, 1);
			call.reset();
		};
		return Stream.of(request("answered", "/safe/x", "", SessionLogTests::whole),
				request("failed-at-each-server", "/safe/x", "", fails, fails),
				request("charge-failed-at-the-server", "/once/x", "", fails, fails),
				request("not-run-by-any", "/once/x", "", full, full),
				request("charge-of-unknown-outcome", "/once/x", "", ScriptedServer.Call::reset),
				request("stream-continued-elsewhere", "/stream/x", "", SessionLogTests::cutOnce,
						SessionLogTests::cutOnce),
				request("stream-that-may-not-be-repeated-cut", "/firm/x", "", cuts),
				request("doubtful-answer-dropped", "/sized/x", "", SessionLogTests::sized, SessionLogTests::sized),
				request("out-of-time", "/brief/x", "", ScriptedServer.Call::waitUntilCallerLeaves),
				request("stream-out-of-time", "/firm/x", "key: k\r\ndeadline: 300\r\n", SessionLogTests::endless),
				request("no-route", "/none/x", "", SessionLogTests::whole),
				request("unknown-key", "/safe/x", "key: other\r\n", SessionLogTests::whole),
				request("no-server", "/safe/x", ""));
	}

	private static Arguments request(String name, String path, String headers, ScriptedServer.Script... scripts) {
		return Arguments.of(name, path, headers, scripts);
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("requests")
	void theLinesOfARequestAreThoseOfItsGoldenFile(String name, String path, String headers,
			ScriptedServer.Script[] scripts) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.before(scripts);
				GatewayFixture.Client client = fixture.connect()) {
			String key = headers.isEmpty() ? "key: k\r\n" : headers;
			client.raw("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nid: r1\r\n" + key + "\r\n");
			awaitLines();
		}
		List<String> told = this.lines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
		assertThat(told.stream().filter((line) -> line.startsWith(FINAL_LINE))).hasSize(1);
		assertThat(told.stream().filter((line) -> !line.startsWith(NOT_A_CRASH)).map(SessionLogTests::withoutTimes))
			.containsExactlyElementsOf(golden(name));
		assertOnlyLostConnectionsWereLookedInto(told);
	}

	// Whether a server crashed is found out beside the request, so the line comes before
	// or after its final one.
	private static void assertOnlyLostConnectionsWereLookedInto(List<String> told) {
		List<String> looks = told.stream().filter((line) -> line.startsWith(NOT_A_CRASH)).toList();
		assertThat(looks).allMatch((line) -> line.matches(
				NOT_A_CRASH + " request fingerprint [0-9a-f]+: server s[12]@0 closed the connection while running it,"
						+ " not counted as a crash: it accepts connections"));
		assertThat((long) looks.size()).isEqualTo(lostConnections(told));
	}

	private void awaitLines() throws InterruptedException {
		long until = System.nanoTime() + 10_000_000_000L;
		while (!allTold()) {
			assertThat(System.nanoTime()).as("a final line and all looks within 10 s").isLessThan(until);
			Thread.sleep(10);
		}
	}

	private boolean allTold() {
		List<String> told = List.copyOf(this.lines.list).stream().map(ILoggingEvent::getFormattedMessage).toList();
		long looks = told.stream().filter((line) -> line.startsWith(NOT_A_CRASH)).count();
		return told.stream().anyMatch((line) -> line.startsWith(FINAL_LINE)) && looks == lostConnections(told);
	}

	private static long lostConnections(List<String> told) {
		return told.stream().filter((line) -> line.contains("ended: DISCONNECTED")).count();
	}

	// The first server is drawn.
	private static String withoutTimes(String line) {
		return line.replaceAll("\\b\\d+ ms", "N ms").replaceAll("\\bs[12]\\b", "S");
	}

	private static List<String> golden(String name) throws IOException {
		try (InputStream file = SessionLogTests.class.getResourceAsStream("golden/" + name + ".txt")) {
			assertThat(file).as("golden/%s.txt", name).isNotNull();
			return new String(file.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
		}
	}

}
