package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers that send bytes without end, over loopback. They stop only when the connection
 * is closed; the route's timeout is 5 s.
 */
class EndlessResponseTests {

	private static final String BLOCK = "a".repeat(16_000);

	/**
	 * Maximum number of bytes sent until the connection must be closed, including socket
	 * buffers.
	 */
	private static final long MAX_BYTES = 48L << 20;

	/**
	 * Time within which the connection must be closed, well below the route's timeout.
	 */
	private static final long MAX_MILLIS = 3000;

	/** Time within which the server notices that the connection was closed. */
	private static final long SETTLE_MILLIS = 300;

	@ParameterizedTest
	@EnumSource
	void endlessResponseIsAbortedSoonAndItsBuffersAreReleased(Endless kind) throws Exception {
		AtomicLong sent = new AtomicLong();
		ScriptedServer.Script script = (call) -> {
			call.write(kind.begin.replace("ID", call.header("id")));
			while (true) {
				call.write(kind.more);
				sent.addAndGet(kind.more.length());
			}
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			long began = System.nanoTime();
			String response = exchange(fixture, kind);
			long millis = (System.nanoTime() - began) / 1_000_000;
			assertThat(millis).isLessThan(MAX_MILLIS);
			assertThat(sent.get()).isLessThan(MAX_BYTES);
			if (!kind.path.startsWith("/stream")) {
				assertThat(RawHttp.status(response)).isEqualTo(502);
			}
			Thread.sleep(SETTLE_MILLIS);
			long before = sent.get();
			Thread.sleep(SETTLE_MILLIS);
			assertThat(sent.get()).as("bytes sent after the connection was closed").isEqualTo(before);
			fixture.onLoop(() -> assertThat(fixture.responseBuffers().bytes()).isZero());
		}
	}

	@Test
	void responseWithoutBufferSpaceIsAbortedAndReleasesItsMemory() throws Exception {
		ScriptedServer.Script script = (call) -> call.respond(200, "seal: s\r\n",
				"a".repeat(call.path().endsWith("small") ? 5 : BufferedBody.MAX_SMALL_BODY + 1));
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			fixture.onLoop(() -> fixture.responseBuffers().reserve((int) ResponseBufferLimit.MAX_BYTES));
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(502);
			assertThat(RawHttp.status(fixture.exchange("/once/small", ""))).isEqualTo(200);
			fixture
				.onLoop(() -> assertThat(fixture.responseBuffers().bytes()).isEqualTo(ResponseBufferLimit.MAX_BYTES));
		}
	}

	// Guards against incomplete events of many streams that fill the memory together:
	// only
	// each of them was limited.
	@Test
	void incompleteEventsOfAllStreamsAreLimitedTogether() throws Exception {
		ScriptedServer.Script script = (call) -> {
			call.streamHead("");
			call.chunk("id: 1\ndata: " + BLOCK);
			call.awaitClientClose();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			fixture.onLoop(() -> fixture.responseBuffers().reserve((int) ResponseBufferLimit.MAX_BYTES - 10_000));
			assertThat(RawHttp.status(fixture.exchange("/firm/x", ""))).isEqualTo(502);
			fixture.onLoop(() -> assertThat(fixture.responseBuffers().bytes())
				.isEqualTo(ResponseBufferLimit.MAX_BYTES - 10_000));
		}
	}

	// Guards against the memory of responses that are complete but that their clients do
	// not read: only those still being received were limited together.
	@Test
	void responseCountsUntilItsClientHasTakenIt() throws Exception {
		int size = 6 << 20;
		ScriptedServer.Script script = (call) -> call.respond(200, "seal: s\r\n", "a".repeat(size));
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			try (GatewayFixture.Client unread = fixture.connect()) {
				unread.send("/safe/x", "");
				awaitCounted(fixture, size);
				Thread.sleep(SETTLE_MILLIS);
				fixture.onLoop(() -> assertThat(fixture.responseBuffers().bytes()).isEqualTo(size));
				assertThat(RawHttp.body(unread.read())).hasSize(size);
			}
			awaitCounted(fixture, 0);
			try (GatewayFixture.Client leaving = fixture.connect()) {
				leaving.send("/safe/x", "");
				awaitCounted(fixture, size);
			}
			awaitCounted(fixture, 0);
		}
	}

	private static void awaitCounted(GatewayFixture fixture, long bytes) throws Exception {
		AtomicLong counted = new AtomicLong(-1);
		for (int i = 0; i < 300 && counted.get() != bytes; i++) {
			Thread.sleep(10);
			fixture.onLoop(() -> counted.set(fixture.responseBuffers().bytes()));
		}
		assertThat(counted.get()).isEqualTo(bytes);
	}

	private static String exchange(GatewayFixture fixture, Endless kind) {
		try {
			return fixture.exchange(kind.path, "");
		}
		catch (IOException ex) {
			return "aborted: " + ex.getMessage();
		}
	}

	/** Part of the response that never ends. */
	enum Endless {

		/** Empty lines before any response. */
		LINE_ENDS("/once/x", "", "\r\n".repeat(8000)),
		/** Informational (1xx) responses. */
		INTERIM_ANSWERS("/once/x", "", "HTTP/1.1 103 Early\r\n\r\n".repeat(500)),
		/** Responses to another request. */
		OTHER_ANSWERS("/once/x", "",
				"HTTP/1.1 200 OK\r\nid: other\r\nseal: s\r\ncontent-length: 4\r\n\r\nbody".repeat(300)),
		/** The body of a response to another request. */
		OTHER_BODY("/once/x", "HTTP/1.1 200 OK\r\nid: other\r\nseal: s\r\n\r\n", BLOCK),
		/** The head. */
		HEAD("/once/x", "HTTP/1.1 200 OK\r\nseal: s\r\nx: ", BLOCK),
		/** Header fields. */
		FIELDS("/once/x", "HTTP/1.1 200 OK\r\nseal: s\r\n", "x: y\r\n".repeat(2000)),
		/** The body of a response without length. */
		BODY("/once/x", "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\n", BLOCK),
		/** The body of an error response. */
		FAILURE("/once/x", "HTTP/1.1 500 X\r\nid: ID\r\nseal: s\r\n\r\n", BLOCK),
		/** The size of a chunk. */
		CHUNK_SIZE("/once/x", "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n1;", BLOCK),
		/** The trailers after the last chunk. */
		TRAILERS("/once/x", "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
				"x: y\r\n".repeat(2000)),
		/** An event. */
		EVENT("/firm/x", "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\n", BLOCK),
		/** Comments between events. */
		COMMENTS("/stream/x", "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\nid: 1\ndata: x\n\n",
				": wait\n\n".repeat(2000));

		private final String path;

		private final String begin;

		private final String more;

		Endless(String path, String begin, String more) {
			this.path = path;
			this.begin = begin;
			this.more = more;
		}

	}

}
