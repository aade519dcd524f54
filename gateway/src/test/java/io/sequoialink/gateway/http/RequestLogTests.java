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
 * Compares all log lines of a request with a golden file: one for each way in which a
 * request can end, each with exactly one final line. Ids and times that vary between runs
 * are replaced.
 */
class RequestLogTests {

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

	private static void respondOk(ScriptedServer.Call call) throws IOException {
		call.respond(200, "seal: s\r\n", "hello");
	}

	private static void sendEvent(ScriptedServer.Call call, int number) throws IOException {
		call.chunk("id: " + number + "\ndata: x\n\n");
	}

	private static void respondByModel(ScriptedServer.Call call) throws IOException {
		boolean small = "small".equals(call.header("model"));
		call.streamHead("confidence: " + (small ? 5 : 95) + "\r\n");
		sendEvent(call, 1);
		if (small) {
			call.awaitClientClose();
			return;
		}
		call.endChunks();
	}

	private static void resetFirstStream(ScriptedServer.Call call) throws IOException {
		call.streamHead("");
		if (call.header("last-event-id") == null) {
			sendEvent(call, 1);
			call.reset();
			return;
		}
		sendEvent(call, 2);
		call.endChunks();
	}

	private static void neverEndStream(ScriptedServer.Call call) throws IOException {
		call.streamHead("");
		sendEvent(call, 1);
		call.awaitClientClose();
	}

	static Stream<Arguments> requests() {
		ScriptedServer.Script fails = (call) -> call.respond(500, "seal: s\r\n", "broken");
		ScriptedServer.Script full = (call) -> call.respond(503, "not-run: 1\r\n", "");
		ScriptedServer.Script cuts = (call) -> {
			call.streamHead("");
			sendEvent(call, 1);
			call.reset();
		};
		return Stream.of(request("answered", "/safe/x", "", RequestLogTests::respondOk),
				request("failed-at-each-server", "/safe/x", "", fails, fails),
				request("non-repeatable-request-failed", "/once/x", "", fails, fails),
				request("not-run-by-any", "/once/x", "", full, full),
				request("non-repeatable-request-of-unknown-outcome", "/once/x", "", ScriptedServer.Call::reset),
				request("stream-resumed-at-another-server", "/stream/x", "", RequestLogTests::resetFirstStream,
						RequestLogTests::resetFirstStream),
				request("non-resumable-stream-aborted", "/firm/x", "", cuts),
				request("low-confidence-response-dropped", "/sized/x", "", RequestLogTests::respondByModel,
						RequestLogTests::respondByModel),
				request("deadline-passed", "/brief/x", "", ScriptedServer.Call::awaitClientClose),
				request("stream-deadline-passed", "/firm/x", "key: k\r\ndeadline: 300\r\n",
						RequestLogTests::neverEndStream),
				request("no-route", "/none/x", "", RequestLogTests::respondOk),
				request("unknown-key", "/safe/x", "key: other\r\n", RequestLogTests::respondOk),
				request("no-server", "/safe/x", ""));
	}

	private static Arguments request(String name, String path, String headers, ScriptedServer.Script... scripts) {
		return Arguments.of(name, path, headers, scripts);
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("requests")
	void logLinesMatchTheGoldenFile(String name, String path, String headers, ScriptedServer.Script[] scripts)
			throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(scripts);
				GatewayFixture.Client client = fixture.connect()) {
			String key = headers.isEmpty() ? "key: k\r\n" : headers;
			client.raw("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nid: r1\r\n" + key + "\r\n");
			awaitLines();
		}
		List<String> logged = this.lines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
		assertThat(logged.stream().filter((line) -> line.startsWith(FINAL_LINE))).hasSize(1);
		assertThat(logged.stream().filter((line) -> !line.startsWith(NOT_A_CRASH)).map(RequestLogTests::withoutTimes))
			.containsExactlyElementsOf(golden(name));
		assertProbesMatchLostConnections(logged);
	}

	// A server is probed for a crash independently of the request, so this line may
	// appear before or after the final line.
	private static void assertProbesMatchLostConnections(List<String> logged) {
		List<String> probes = logged.stream().filter((line) -> line.startsWith(NOT_A_CRASH)).toList();
		assertThat(probes).allMatch((line) -> line.matches(
				NOT_A_CRASH + " request fingerprint [0-9a-f]+: server s[12]@0 closed the connection while running it,"
						+ " not counted as a crash: it accepts connections"));
		assertThat((long) probes.size()).isEqualTo(lostConnections(logged));
	}

	private void awaitLines() throws InterruptedException {
		long until = System.nanoTime() + 10_000_000_000L;
		while (!allLogged()) {
			assertThat(System.nanoTime()).as("a final line and all probes within 10 s").isLessThan(until);
			Thread.sleep(10);
		}
	}

	private boolean allLogged() {
		List<String> logged = List.copyOf(this.lines.list).stream().map(ILoggingEvent::getFormattedMessage).toList();
		long probes = logged.stream().filter((line) -> line.startsWith(NOT_A_CRASH)).count();
		return logged.stream().anyMatch((line) -> line.startsWith(FINAL_LINE)) && probes == lostConnections(logged);
	}

	private static long lostConnections(List<String> logged) {
		return logged.stream().filter((line) -> line.contains("ended: DISCONNECTED")).count();
	}

	// Which server gets the first attempt is random.
	private static String withoutTimes(String line) {
		return line.replaceAll("\\b\\d+ ms", "N ms")
			.replaceAll("\\[port \\d+", "[port P")
			.replaceAll("\\bs[12]\\b", "S");
	}

	private static List<String> golden(String name) throws IOException {
		try (InputStream file = RequestLogTests.class.getResourceAsStream("golden/" + name + ".txt")) {
			assertThat(file).as("golden/%s.txt", name).isNotNull();
			return new String(file.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
		}
	}

}
