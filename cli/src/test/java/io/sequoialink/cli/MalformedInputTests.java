package io.sequoialink.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.daemon.host.HostPolicies;
import io.sequoialink.standin.Standins;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Input that breaks the protocol ends its connection. Guards against a second request
 * that is smuggled inside the first.
 */
class MalformedInputTests {

	private static final int READ_TIMEOUT_MILLIS = 15_000;

	private static final String LINE = "POST /services/orders/charges HTTP/1.1";

	private static final String SECOND = "GET /nowhere HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

	private static LiveFleet fleet;

	@BeforeAll
	static void start() throws Exception {
		fleet = LiveFleet.start("magnolia", Standins.of("magnolia").timeScale(0.02).start(), 1, HostPolicies.DEFAULT,
				3);
	}

	@AfterAll
	static void stop() {
		fleet.close();
	}

	private static String fields(String more) {
		return "\r\nhost: x\r\nauthorization: Bearer " + DeploymentObjects.key("account-0")
				+ "\r\nidempotency-key: one\r\n" + more + "\r\n\r\n";
	}

	private static String exchange(String text) throws IOException {
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fleet.hosts().get(0).httpPort())) {
			socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			return readToEnd(socket.getInputStream());
		}
	}

	private static String readToEnd(InputStream in) {
		StringBuilder text = new StringBuilder();
		try {
			for (int next = in.read(); next >= 0; next = in.read()) {
				text.append((char) next);
			}
		}
		catch (IOException ex) {
			text.append("<reset>");
		}
		return text.toString();
	}

	private static void assertEndsTheConnection(String request) throws IOException {
		int executions = fleet.standins().executionRecorder().executions().size();
		assertThat(exchange(request + SECOND)).doesNotContain("HTTP/1.1 2").doesNotContain("HTTP/1.1 404");
		assertThat(fleet.standins().executionRecorder().executions()).hasSize(executions);
	}

	@ParameterizedTest
	@ValueSource(strings = { "x", "gzip", "chunked, gzip", "gzip, chunked", "chunked\r\ntransfer-encoding: gzip",
			"x\r\ncontent-length: 2" })
	@Timeout(60)
	void transferCodingThatIsNotKnown(String codings) throws IOException {
		assertEndsTheConnection(LINE + fields("transfer-encoding: " + codings) + "2\r\n{}\r\n0\r\n\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { " POST /services/orders/charges HTTP/1.1", "POST /services/orders/charges\u0001 HTTP/1.1",
			"POST /services/orders/charges HTTP/2.0", "P\u0001T /services/orders/charges HTTP/1.1" })
	@Timeout(60)
	void firstLineThatIsNoRequestLine(String line) throws IOException {
		assertEndsTheConnection(line + fields("content-length: 2") + "{}");
	}

	@ParameterizedTest
	@ValueSource(strings = { "x y: 1", "x : 1", "content-length : 2", "content-length: 2\r\ntransfer-encoding: chunked",
			"content-length: 2\r\ncontent-length: 3", "x: a\u0001b\r\ncontent-length: 2" })
	@Timeout(60)
	void fieldThatIsMalformed(String field) throws IOException {
		assertEndsTheConnection(LINE + fields(field) + "{}");
	}

	@Test
	@Timeout(60)
	void rightInputIsServed() throws IOException {
		assertThat(exchange(LINE + fields("transfer-encoding: Chunked") + "2\r\n{}\r\n0\r\n\r\n" + SECOND))
			.startsWith("HTTP/1.1 2")
			.contains("HTTP/1.1 404");
	}

}
