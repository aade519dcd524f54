package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.List;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Heads that no request takes have a log line each, which names their server, status and
 * id, the connection and the request that awaits another.
 */
class UnexpectedHeadTests {

	private final Logger logger = (Logger) LoggerFactory.getLogger(BackendConnection.class);

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

	private static String head(int status, String id) {
		String idHeader = id.isEmpty() ? "" : "id: " + id + "\r\n";
		String length = (status / 100 == 1) ? "" : "content-length: 0\r\n";
		return "HTTP/1.1 " + status + " X\r\n" + idHeader + "seal: s\r\n" + length + "\r\n";
	}

	// Guards against a wrong answer that can't be led back to the one dropped before it.
	@ParameterizedTest
	@CsvSource({ "103, '', 1, interim", "200, other, 1, its request was never sent on this connection",
			"200, r1, 2, answers an earlier request of this connection",
			"200, '', 2, 'has no id, after other responses'" })
	@Timeout(10)
	void headThatIsNotTakenIsLogged(int status, String id, int request, String reason) throws Exception {
		ScriptedServer.Script script = (call) -> {
			if (call.path().endsWith("second") || request == 1) {
				call.write(head(status, id));
			}
			call.respond(200, "seal: s\r\n", "hello");
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script);
				GatewayFixture.Client client = fixture.connect()) {
			send(client, "r1", "/safe/first");
			if (request == 2) {
				send(client, "r2", "/safe/second");
			}
		}
		assertThat(logged().get(0).replaceAll("port \\d+", "port P")).isEqualTo(
				"SL-3118 server s1: head with status " + status + " and id '" + id + "' not taken, port P, request "
						+ request + " on it, awaited by request r" + request + ": " + reason);
	}

	// Guards against a complaint that can't be led back to what the server sent.
	@ParameterizedTest
	@CsvSource({ "HTTP/1.1 000 X, its status code is not between 100 and 599",
			"HTTP/2.0 200 X, its version is not HTTP/1", "200 OK, its first line is malformed" })
	@Timeout(10)
	void whatCanNotBeReadIsLoggedWithTheReason(String line, String reason) throws Exception {
		ScriptedServer.Script script = (call) -> call
			.write(line + "\r\nid: r1\r\nseal: s\r\ncontent-length: 0\r\n\r\n");
		try (GatewayFixture fixture = GatewayFixture.withServers(script);
				GatewayFixture.Client client = fixture.connect()) {
			send(client, "r1", "/once/first");
		}
		assertThat(logged().get(0).replaceAll("port \\d+", "port P")).isEqualTo("SL-3118 server s1: bytes (" + reason
				+ ") not taken, port P, request 1 on it, awaited by request r1: can't be read as a response");
	}

	// Guards against a second answer that leaves no trace because no request waits.
	@ParameterizedTest
	@CsvSource({ "200, r1", "500, ''" })
	@Timeout(10)
	void headThatNoRequestAwaitsIsLogged(int status, String id) throws Exception {
		ScriptedServer.Script script = (call) -> {
			call.respond(200, "seal: s\r\n", "hello");
			ScriptedServer.pause(50);
			call.write(head(status, id));
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script);
				GatewayFixture.Client client = fixture.connect()) {
			send(client, "r1", "/safe/first");
			while (logged().isEmpty()) {
				Thread.sleep(5);
			}
		}
		assertThat(logged().get(0).replaceAll("port \\d+", "port P"))
			.isEqualTo("SL-3118 server s1: head with status " + status + " and id '" + id
					+ "' not taken, port P, request 1 on it, awaited by request none: no request awaits a response");
	}

	private static void send(GatewayFixture.Client client, String id, String path) throws IOException {
		client.raw("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nid: " + id + "\r\nkey: k\r\n\r\n");
		client.read();
	}

	private List<String> logged() {
		return List.copyOf(this.lines.list)
			.stream()
			.map(ILoggingEvent::getFormattedMessage)
			.filter((line) -> line.startsWith("SL-3118"))
			.toList();
	}

}
