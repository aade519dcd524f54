package io.sequoialink.remote;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A server whose answers are malformed or cut, over loopback. Guards against a call that
 * is told an outcome that the server never stated whole.
 */
class BrokenAnswerTests {

	private static final int UPLOAD_BYTES = 3_900_000;

	private static String call(int bodyBytes, Script script) throws Exception {
		try (ServerSocket listening = new ServerSocket(); HttpClientPool pool = new HttpClientPool()) {
			listening.setReceiveBufferSize(8 << 10);
			listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			Thread serving = new Thread(() -> serve(listening, script));
			serving.setDaemon(true);
			serving.start();
			HttpAddress address = HttpAddress.parse("127.0.0.1:" + listening.getLocalPort());
			HttpAnswer answer = HttpCall.to(pool, address, "POST", "/call", Duration.ofSeconds(5))
				.body(new byte[bodyBytes])
				.send();
			return answer.status() + " " + new String(answer.body(), StandardCharsets.US_ASCII);
		}
		catch (BackendException ex) {
			return "no answer";
		}
	}

	private static void serve(ServerSocket listening, Script script) {
		try (Socket socket = listening.accept()) {
			readHead(socket.getInputStream());
			script.answer(socket);
		}
		catch (IOException | InterruptedException ex) {
			// the client has closed the connection
		}
	}

	private static void readHead(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		int next = in.read();
		while (next >= 0 && head.append((char) next).indexOf("\r\n\r\n") < 0) {
			next = in.read();
		}
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
			"HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 +200 OK",
			"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "ICY 200 OK", " HTTP/1.1 200 OK" })
	@Timeout(20)
	void firstLineThatIsNoStatusLine(String line) throws Exception {
		assertNone(line + "\r\ncontent-length: 2\r\n\r\n{}");
	}

	private static void assertNone(String text) throws Exception {
		assertThat(call(2, (socket) -> {
			write(socket, text);
			socket.shutdownOutput();
			socket.getInputStream().readAllBytes();
		})).isEqualTo("no answer");
	}

	@ParameterizedTest
	@ValueSource(strings = { "x y: 1", "x\ty: 1", "x : 1", "x\t: 1", " x: 1", "x: a\r\n b", ": 1", "no colon",
			"x\u0001y: 1", "x: a\u0001b", "executed : none", "content-length : 1" })
	@Timeout(20)
	void fieldThatIsMalformed(String field) throws Exception {
		assertNone("HTTP/1.1 200 OK\r\n" + field + "\r\ncontent-length: 2\r\n\r\n{}");
		assertNone("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n" + field + "\r\n\r\n{}");
	}

	@ParameterizedTest
	@ValueSource(strings = { "2x\r\n{}\r\n0\r\n\r\n", "100000002\r\n{}\r\n0\r\n\r\n", "2\r\n{}more\r\n0\r\n\r\n",
			"2\r\n{}\r\n0\r\nx y: 1\r\n\r\n", "2\r\n{}\r\n0\r\nx : 1\r\n\r\n" })
	@Timeout(20)
	void chunkOrTrailerThatIsMalformed(String chunks) throws Exception {
		assertNone("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunks);
	}

	// The HTTP client ends a size at the first blank, which no setting of it changes.
	@ParameterizedTest
	@ValueSource(strings = { "2 2\r\n{}\r\n0\r\n\r\n", "2\r\n{}\r\n0 0\r\n\r\n" })
	@Tag("known-red")
	@Timeout(20)
	void chunkSizeThatIsFollowedByOtherText(String chunks) throws Exception {
		assertNone("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunks);
	}

	@ParameterizedTest
	@ValueSource(strings = { "gzip", "x", "chunked, gzip", "gzip, chunked", "chunked\r\ntransfer-encoding: chunked" })
	@Timeout(20)
	void transferCodingThatIsNotKnown(String codings) throws Exception {
		assertNone("HTTP/1.1 200 OK\r\ntransfer-encoding: " + codings + "\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
	}

	// The server has not read the call, so nothing says that it did what it answers.
	@ParameterizedTest
	@CsvSource({ "false, 0", "false, 40", "true, 0", "true, 40" })
	@Timeout(20)
	void partOfAnAnswerToACallThatIsStillWrittenIsNone(boolean outputEndsFirst, int millis) throws Exception {
		assertThat(call(UPLOAD_BYTES, (socket) -> {
			write(socket, "HTTP/1.1 200 OK\r\n\r\n{\"end\":1}");
			if (outputEndsFirst) {
				socket.shutdownOutput();
			}
			Thread.sleep(millis);
			socket.setSoLinger(true, 0);
		})).isEqualTo("no answer");
	}

	@ParameterizedTest
	@ValueSource(
			strings = { "HTTP/1.1 200\r\ncontent-length: 2\r\n\r\n{}", "HTTP/1.1 200 \r\ncontent-length: 2\r\n\r\n{}",
					"HTTP/1.1 200 \u00e4\r\nx: \u00e4\r\ncontent-length: 2\r\n\r\n{}",
					"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\n\r\n{}",
					"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n02;a=b\r\n{}\r\n0\r\nx: 1\r\n\r\n" })
	@Timeout(20)
	void rightAnswerIsTaken(String text) throws Exception {
		assertThat(call(2, (socket) -> {
			socket.getInputStream().readNBytes(2);
			write(socket, text);
		})).isEqualTo("200 {}");
	}

	@Test
	@Timeout(20)
	void answerWithoutALengthIsTakenIfTheCallIsRead() throws Exception {
		assertThat(call(UPLOAD_BYTES, (socket) -> {
			write(socket, "HTTP/1.1 200 OK\r\n\r\n{}");
			socket.getInputStream().readNBytes(UPLOAD_BYTES);
		})).isEqualTo("200 {}");
	}

	/** What the server does once it has the head of a call. */
	@FunctionalInterface
	private interface Script {

		void answer(Socket socket) throws IOException, InterruptedException;

	}

}
