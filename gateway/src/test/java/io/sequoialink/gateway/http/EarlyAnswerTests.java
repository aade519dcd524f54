package io.sequoialink.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A server that answers before it has read a request's body, and once more with the
 * opposite status, over loopback. Guards against taking the second answer while the body
 * is still on its way (MIXED).
 */
class EarlyAnswerTests {

	private static final int BODY_BYTES = 9_000;

	private static String answer(int status, String id, String body) {
		return "HTTP/1.1 " + status + " X\r\nid: " + id + "\r\nseal: s\r\ncontent-length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	private static ServerSocket listen() throws IOException {
		ServerSocket listening = new ServerSocket();
		listening.setReceiveBufferSize(1024);
		listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		return listening;
	}

	private static void serve(ServerSocket listening, int status, int pauseMillis) {
		while (!listening.isClosed()) {
			try (Socket socket = listening.accept()) {
				socket.setSoTimeout(5000);
				answerEarly(socket, status, pauseMillis);
			}
			catch (IOException ex) {
				// the host has closed the connection, or the test has ended
			}
		}
	}

	private static void answerEarly(Socket socket, int status, int pauseMillis) throws IOException {
		InputStream in = socket.getInputStream();
		String id = RawHttp.header(RawHttp.readHead(in), "id");
		OutputStream out = socket.getOutputStream();
		out.write(answer(status, id, "own").getBytes(StandardCharsets.US_ASCII));
		ScriptedServer.pause(pauseMillis);
		out.write(answer((status == 200) ? 500 : 200, id, "extra").getBytes(StandardCharsets.US_ASCII));
		in.readNBytes(BODY_BYTES);
	}

	// The server's socket takes only a part of the body before the server reads it.
	@ParameterizedTest(name = "{0}, status {1}, extra answer after {2} ms")
	@CsvSource({ "/safe/x, 500, 0", "/safe/x, 500, 50", "/safe/x, 200, 0", "/safe/x, 200, 50", "/once/x, 500, 0",
			"/once/x, 200, 50" })
	@Timeout(30)
	void extraAnswerIsNotTakenBeforeTheBodyIsRead(String path, int status, int pauseMillis) throws Exception {
		try (ServerSocket listening = listen();
				GatewayFixture fixture = GatewayFixture.withServers((call) -> call.respond(500, "seal: s\r\n", "own"));
				GatewayFixture.Client client = fixture.connect()) {
			Thread serving = new Thread(() -> serve(listening, status, pauseMillis), "early");
			serving.setDaemon(true);
			serving.start();
			fixture.setCutOff(new InetSocketAddress(InetAddress.getLoopbackAddress(), listening.getLocalPort()));
			client.raw("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nid: early1\r\nkey: k\r\ncontent-length: "
					+ BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES));
			String response = client.read();
			assertThat(RawHttp.body(response)).isEqualTo("own");
			assertThat(RawHttp.status(response)).isEqualTo(status);
		}
	}

}
