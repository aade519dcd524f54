package io.sequoialink.gateway.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Clients that take a long answer slowly, over loopback with small socket buffers at the
 * client.
 */
@Tag("known-red")
class SlowClientTests {

	/** Longer than the idle timeout of the fixture and its sweep. */
	private static final int PAUSE_MILLIS = 2200;

	// Guards against the loss of an answer that the system has taken from the host, when
	// the connection becomes idle, the host stops, or the client has asked for its end.
	@ParameterizedTest
	@CsvSource({ "200000, IDLE", "200000, STOP", "200000, CLOSE", "6000000, CLOSE" })
	@Timeout(30)
	void anAnswerThatIsTakenSlowlyIsNotCut(int size, End end) throws Exception {
		assertThat(bytesTaken(size, end)).isEqualTo(size);
	}

	// Guards against an answer that is cut since the host takes a connection for idle
	// while
	// it still holds a part of the answer that the client has not made room for.
	@ParameterizedTest
	@CsvSource({ "6000000, IDLE", "6000000, STOP" })
	@Timeout(30)
	void anAnswerIsNotCutWhileTheHostStillWritesIt(int size, End end) throws Exception {
		assertThat(bytesTaken(size, end)).isEqualTo(size);
	}

	// Guards against an answer that is cut by the client's next request, which crosses
	// the
	// end of the connection: the client has not read yet that the host drains.
	@ParameterizedTest
	@ValueSource(ints = { 200, 900 })
	@Timeout(30)
	void aRequestThatCrossesTheEndDoesNotCutTheAnswer(int pauseMillis) throws Exception {
		int size = 200_000;
		ScriptedServer.Script script = (call) -> call.respond(200, "seal: s\r\n", "a".repeat(size));
		try (GatewayFixture fixture = GatewayFixture.withServers(script);
				Socket client = connect(fixture.frontend().port())) {
			fixture.onLoop(() -> fixture.frontend().drain(5000));
			byte[] request = request(End.IDLE).getBytes(StandardCharsets.US_ASCII);
			client.getOutputStream().write(request);
			ScriptedServer.pause(pauseMillis);
			client.getOutputStream().write(request);
			ScriptedServer.pause(100);
			InputStream in = new BufferedInputStream(client.getInputStream());
			assertThat(RawHttp.body(RawHttp.readMessage(in))).hasSize(size);
		}
	}

	private static int bytesTaken(int size, End end) throws Exception {
		ScriptedServer.Script script = (call) -> call.respond(200, "seal: s\r\n", "a".repeat(size));
		try (GatewayFixture fixture = GatewayFixture.withServers(script);
				Socket client = connect(fixture.frontend().port())) {
			client.getOutputStream().write(request(end).getBytes(StandardCharsets.US_ASCII));
			InputStream in = new BufferedInputStream(client.getInputStream());
			in.mark(1);
			assertThat(in.read()).isEqualTo('H');
			in.reset();
			if (end == End.STOP) {
				ScriptedServer.pause(200);
				fixture.onLoop(() -> {
					fixture.frontend().drain(5000);
					fixture.frontend().stopListening();
				});
			}
			ScriptedServer.pause(PAUSE_MILLIS);
			return RawHttp.body(RawHttp.readMessage(in)).replace("<cut>", "").length();
		}
	}

	private static Socket connect(int port) throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(8192);
		socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
		socket.setSoTimeout(10_000);
		return socket;
	}

	private static String request(End end) {
		return "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nid: slow1\r\nkey: k\r\n"
				+ ((end == End.CLOSE) ? "connection: close\r\n" : "") + "\r\n";
	}

	/**
	 * What could end the connection before the client has taken the answer.
	 */
	enum End {

		IDLE, STOP, CLOSE

	}

}
