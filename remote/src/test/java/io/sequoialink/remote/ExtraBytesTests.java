package io.sequoialink.remote;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A server that writes bytes behind a complete answer, over loopback. Guards against a
 * call that is told the outcome of another, or one that is read from two answers.
 */
@Tag("known-red")
class ExtraBytesTests {

	private static final String FIRST = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";

	private static final String SECOND = "HTTP/1.1 503 Busy\r\ncontent-length: 6\r\n\r\nsecond";

	private static void serve(ServerSocket listening, int extraBytes, boolean late) {
		while (!listening.isClosed()) {
			try (Socket socket = listening.accept()) {
				String extra = FIRST.substring(0, extraBytes);
				boolean first = readHead(socket.getInputStream()).contains("/first");
				write(socket, first ? FIRST + (late ? "" : extra) : SECOND);
				readHead(socket.getInputStream());
				write(socket, (late ? extra : "") + SECOND);
				socket.getInputStream().read();
			}
			catch (IOException ex) {
				// the client has closed the connection
			}
		}
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static String readHead(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				throw new IOException("closed");
			}
			text.append((char) next);
		}
		return text.toString();
	}

	// The bytes come with the first answer, or before the next one.
	@ParameterizedTest
	@CsvSource({ "13, false", "15, false", "43, false", "13, true", "15, true", "43, true" })
	@Timeout(20)
	void nextCallHasItsOwnOutcome(int extraBytes, boolean late) throws Exception {
		try (ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
				HttpClientPool pool = new HttpClientPool()) {
			Thread serving = new Thread(() -> serve(listening, extraBytes, late));
			serving.setDaemon(true);
			serving.start();
			HttpAddress address = HttpAddress.parse("127.0.0.1:" + listening.getLocalPort());
			HttpCall.to(pool, address, "GET", "/first", Duration.ofSeconds(1)).send();
			String outcome;
			try {
				outcome = "status "
						+ HttpCall.to(pool, address, "GET", "/second", Duration.ofSeconds(1)).send().status();
			}
			catch (BackendException ex) {
				outcome = "no answer";
			}
			assertThat(outcome).isIn("status 503", "no answer");
		}
	}

}
