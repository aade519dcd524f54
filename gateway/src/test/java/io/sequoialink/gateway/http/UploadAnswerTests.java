package io.sequoialink.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers that answer a long upload while it is still being written, over loopback,
 * directly and through a helping host. Guards against taking a part of an answer for a
 * whole one when the connection breaks (MIXED), and against losing a whole one.
 */
class UploadAnswerTests {

	private static final int UPLOAD_BYTES = 3_900_000;

	private static final int REPETITIONS = 5;

	private static final String EVENT = "id: 1\ndata: d\n\n";

	/** What the server does after the head of a request. */
	private enum End {

		RESET, END_THEN_RESET, CRASH, READ_THEN_CLOSE, END_THEN_READ

	}

	private static String upload(GatewayFixture fixture, int bytes, String path) throws Exception {
		try (GatewayFixture.Client client = fixture.connect()) {
			client.raw("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nid: up1\r\nkey: k\r\ncontent-length: " + bytes
					+ "\r\n\r\n" + "x".repeat(bytes));
			return path.startsWith("/firm/") ? client.readToEnd() : client.read();
		}
	}

	// Without a connection nothing is sent, and the host says that it has not run.
	private static String uploadToServer(GatewayFixture fixture, UploadServer server, String path) throws Exception {
		int before = server.requests.get();
		String response = upload(fixture, server.behaviour.bytes, path);
		while (server.requests.get() == before && !server.listening.isClosed()) {
			response = upload(fixture, server.behaviour.bytes, path);
		}
		if (path.startsWith("/once/") && response.startsWith("HTTP/1.1 502 ")) {
			assertThat(server.requests.get() - before).isLessThanOrEqualTo(1);
		}
		return response;
	}

	private static long brokenAttempts(GatewayFixture fixture) throws Exception {
		AtomicLong attempts = new AtomicLong();
		fixture.onLoop(() -> attempts
			.set(fixture.counts().attempts().counts().getOrDefault(List.of("svc", "v1", "broken"), 0L)));
		return attempts.get();
	}

	// The server's socket takes only a small part of the upload by itself.
	private static void play(Behaviour behaviour, boolean throughHost, Play play) throws Exception {
		try (UploadServer server = new UploadServer(behaviour);
				GatewayFixture fixture = GatewayFixture.withLargeBodies((call) -> {
				}, (call) -> {
				})) {
			if (throughHost) {
				fixture.startHelpingHost();
				fixture.directHelpingHost(server.address());
				fixture.setCutOff(true);
			}
			else {
				fixture.setCutOff(server.address());
			}
			for (int i = 0; i < REPETITIONS; i++) {
				play.play(fixture, (path) -> uploadToServer(fixture, server, path));
			}
		}
	}

	@ParameterizedTest(name = "{0} after {1} ms, through a host: {2}")
	@CsvSource({ "RESET, 0, false", "RESET, 1, false", "RESET, 40, false", "END_THEN_RESET, 0, false",
			"END_THEN_RESET, 40, false", "RESET, 0, true", "RESET, 1, true", "RESET, 40, true",
			"END_THEN_RESET, 0, true", "END_THEN_RESET, 40, true" })
	@Timeout(60)
	void partOfAnAnswerWithoutALengthIsNotComplete(End end, int millis, boolean throughHost) throws Exception {
		String part = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\n" + "p".repeat(1000);
		play(new Behaviour(part, end, millis), throughHost, (fixture, upload) -> {
			String response = upload.send("/once/x");
			assertThat(response).startsWith("HTTP/1.1 502 ");
			assertThat(RawHttp.header(response, "seal")).isNull();
		});
	}

	// Guards against an upload of which the system's buffers take all.
	@ParameterizedTest(name = "{0} of {1} bytes, through a host: {2}")
	@CsvSource({ "RESET, 1000000, false", "END_THEN_RESET, 1000000, false", "END_THEN_RESET, 400000, false",
			"RESET, 1000000, true", "END_THEN_RESET, 1000000, true", "END_THEN_RESET, 400000, true" })
	@Timeout(60)
	void partOfAnAnswerToAShorterUploadIsNotComplete(End end, int bytes, boolean throughHost) throws Exception {
		String part = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\np";
		play(new Behaviour(part, end, 40, bytes), throughHost,
				(fixture, upload) -> assertThat(upload.send("/once/x")).startsWith("HTTP/1.1 502 "));
	}

	@ParameterizedTest(name = "{0} after {1} ms, through a host: {2}")
	@CsvSource({ "RESET, 0, false", "RESET, 40, false", "END_THEN_RESET, 40, false", "RESET, 40, true",
			"END_THEN_RESET, 40, true" })
	@Timeout(60)
	void partOfAStreamWithoutALengthIsNotComplete(End end, int millis, boolean throughHost) throws Exception {
		String part = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\n" + EVENT;
		play(new Behaviour(part, end, millis), throughHost,
				(fixture, upload) -> assertThat(upload.send("/firm/x")).doesNotContain("\r\n0\r\n\r\n"));
	}

	@ParameterizedTest(name = "{0} after {1} ms, through a host: {2}")
	@CsvSource({ "READ_THEN_CLOSE, 0, false", "READ_THEN_CLOSE, 40, false", "END_THEN_READ, 0, false",
			"END_THEN_READ, 40, false", "READ_THEN_CLOSE, 0, true", "END_THEN_READ, 0, true",
			"END_THEN_READ, 40, true" })
	@Timeout(60)
	void answerWithoutALengthIsDeliveredIfTheUploadIsRead(End end, int millis, boolean throughHost) throws Exception {
		String body = "w".repeat(1000);
		String whole = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\n" + body;
		play(new Behaviour(whole, end, millis), throughHost, (fixture, upload) -> {
			String response = upload.send("/once/x");
			assertThat(response).startsWith("HTTP/1.1 200 ");
			assertThat(RawHttp.body(response)).isEqualTo(body);
		});
	}

	@ParameterizedTest(name = "{0}, through a host: {1}")
	@CsvSource({ "200, false", "413, false", "503, false", "200, true", "413, true", "503, true" })
	@Timeout(60)
	void earlyAnswerWithALengthIsDelivered(int status, boolean throughHost) throws Exception {
		String whole = "HTTP/1.1 " + status + " X\r\nid: ID\r\nseal: s\r\ncontent-length: 15\r\n\r\n" + EVENT;
		for (End end : List.of(End.RESET, End.END_THEN_RESET, End.READ_THEN_CLOSE)) {
			play(new Behaviour(whole, end, 0), throughHost, (fixture, upload) -> {
				String response = upload.send("/once/x");
				assertThat(RawHttp.status(response)).as(end.name()).isEqualTo(status);
				assertThat(RawHttp.header(response, "seal")).isEqualTo("s");
				assertThat(RawHttp.body(response)).isEqualTo(EVENT);
			});
		}
	}

	@ParameterizedTest(name = "through a host: {0}")
	@ValueSource(booleans = { false, true })
	@Timeout(60)
	void earlyStatementThatTheRequestWasNotRunIsHeard(boolean throughHost) throws Exception {
		String notRun = "HTTP/1.1 503 X\r\nid: ID\r\nnot-run: 1\r\ncontent-length: 4\r\n\r\nfull";
		for (End end : EnumSet.complementOf(EnumSet.of(End.CRASH))) {
			play(new Behaviour(notRun, end, 0), throughHost,
					(fixture, upload) -> assertThat(upload.send("/once/x")).as(end.name()).startsWith("HTTP/1.1 503 "));
		}
	}

	@ParameterizedTest
	@EnumSource(names = { "RESET", "END_THEN_RESET" })
	@Timeout(60)
	void requestThatMayBeRepeatedIsSentOnceMore(End end) throws Exception {
		String part = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\np";
		play(new Behaviour(part, end, 10), false, (fixture, upload) -> {
			long before = brokenAttempts(fixture);
			assertThat(upload.send("/safe/x")).startsWith("HTTP/1.1 502 ").contains("outcome unknown");
			assertThat(brokenAttempts(fixture) - before).isEqualTo(2);
		});
	}

	// Guards against a crash that goes unnoticed because a write found it.
	@Test
	@Timeout(60)
	void serverThatRefusesConnectionsAfterwardsHasCrashed() throws Exception {
		String part = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\np";
		play(new Behaviour(part, End.CRASH, 10), false, (fixture, upload) -> {
			assertThat(upload.send("/once/x")).startsWith("HTTP/1.1 5");
			while (fixture.published().isEmpty()) {
				ScriptedServer.pause(20);
			}
		});
	}

	/** Sends an upload that reaches the server, unless that has crashed. */
	@FunctionalInterface
	private interface Upload {

		String send(String path) throws Exception;

	}

	/** Plays a request. */
	@FunctionalInterface
	private interface Play {

		void play(GatewayFixture fixture, Upload upload) throws Exception;

	}

	/**
	 * What a server does once it has the head of a request, which has a body of so many
	 * bytes. Immutable.
	 */
	private record Behaviour(String answer, End end, int millis, int bytes) {

		private Behaviour(String answer, End end, int millis) {
			this(answer, end, millis, UPLOAD_BYTES);
		}

	}

	/** A server that takes only a small part of a body before it reads it. */
	private static final class UploadServer implements AutoCloseable {

		private final ServerSocket listening = new ServerSocket();

		private final Thread accepting = new Thread(this::accept, "upload-accept");

		private final AtomicInteger requests = new AtomicInteger();

		private final Behaviour behaviour;

		private UploadServer(Behaviour behaviour) throws IOException {
			this.behaviour = behaviour;
			this.listening.setReceiveBufferSize(8 << 10);
			this.listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			this.accepting.setDaemon(true);
			this.accepting.start();
		}

		private InetSocketAddress address() {
			return new InetSocketAddress(InetAddress.getLoopbackAddress(), this.listening.getLocalPort());
		}

		private void accept() {
			while (!this.listening.isClosed()) {
				try {
					Socket socket = this.listening.accept();
					Thread serving = new Thread(() -> serve(socket), "upload-server");
					serving.setDaemon(true);
					serving.start();
				}
				catch (IOException ex) {
					// the test has ended, or the server has crashed
				}
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				InputStream in = socket.getInputStream();
				String head = RawHttp.readHead(in);
				this.requests.incrementAndGet();
				String text = this.behaviour.answer.replace("ID", RawHttp.header(head, "id"));
				socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
				end(socket, in);
			}
			catch (IOException | InterruptedException ex) {
				// the host has closed the connection
			}
		}

		private void end(Socket socket, InputStream in) throws IOException, InterruptedException {
			End end = this.behaviour.end;
			if (end == End.END_THEN_RESET || end == End.END_THEN_READ) {
				socket.shutdownOutput();
			}
			Thread.sleep(this.behaviour.millis);
			if (end == End.CRASH) {
				this.listening.close();
				// it takes connections until its thread has woken
				this.accepting.join();
			}
			if (end == End.READ_THEN_CLOSE || end == End.END_THEN_READ) {
				in.readNBytes(this.behaviour.bytes);
			}
			else {
				socket.setSoLinger(true, 0);
			}
		}

		@Override
		public void close() throws IOException {
			this.listening.close();
		}

	}

}
