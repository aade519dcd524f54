package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers that send bytes without end, over loopback. They stop only when the connection
 * is closed; the route's time is 5 s.
 */
class EndlessBytesTests {

	private static final String BLOCK = "a".repeat(16_000);

	/** Bytes after which a server must have been left at the latest, buffers included. */
	private static final long MOST_BYTES = 48L << 20;

	/** Time in which it must have been left, well within the route's. */
	private static final long MOST_MILLIS = 3000;

	/** Time in which the server notices that it was left. */
	private static final long SETTLED_MILLIS = 300;

	@ParameterizedTest
	@EnumSource
	void aServerWhoseBytesNeverEndIsLeftSoonAndNothingOfItIsKept(Endless kind) throws Exception {
		AtomicLong sent = new AtomicLong();
		ScriptedServer.Script script = (call) -> {
			call.write(kind.begin.replace("ID", call.header("id")));
			while (true) {
				call.write(kind.more);
				sent.addAndGet(kind.more.length());
			}
		};
		try (GatewayFixture fixture = GatewayFixture.before(script)) {
			long began = System.nanoTime();
			String answer = exchange(fixture, kind);
			long millis = (System.nanoTime() - began) / 1_000_000;
			assertThat(millis).isLessThan(MOST_MILLIS);
			assertThat(sent.get()).isLessThan(MOST_BYTES);
			if (!kind.path.startsWith("/stream")) {
				assertThat(RawHttp.status(answer)).isEqualTo(502);
			}
			Thread.sleep(SETTLED_MILLIS);
			long before = sent.get();
			Thread.sleep(SETTLED_MILLIS);
			assertThat(sent.get()).as("bytes after the server was left").isEqualTo(before);
			fixture.onLoop(() -> assertThat(fixture.held().bytes()).isZero());
		}
	}

	@Test
	void anAnswerForWhichNoMemoryIsLeftIsBrokenOffAndGivesBackWhatItHeld() throws Exception {
		ScriptedServer.Script script = (call) -> call.whole(200, "seal: s\r\n", "hello");
		try (GatewayFixture fixture = GatewayFixture.before(script)) {
			fixture.onLoop(() -> fixture.held().reserve((int) HeldAnswers.MAX_BYTES));
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(502);
			fixture.onLoop(() -> assertThat(fixture.held().bytes()).isEqualTo(HeldAnswers.MAX_BYTES));
		}
	}

	private static String exchange(GatewayFixture fixture, Endless kind) {
		try {
			return fixture.exchange(kind.path, "");
		}
		catch (IOException ex) {
			return "cut: " + ex.getMessage();
		}
	}

	/** What never ends. */
	enum Endless {

		/** Line ends before any answer. */
		LINE_ENDS("/once/x", "", "\r\n".repeat(8000)),
		/** Interim answers. */
		INTERIM_ANSWERS("/once/x", "", "HTTP/1.1 103 Early\r\n\r\n".repeat(500)),
		/** Answers to another request. */
		OTHER_ANSWERS("/once/x", "",
				"HTTP/1.1 200 OK\r\nid: other\r\nseal: s\r\ncontent-length: 4\r\n\r\nbody".repeat(300)),
		/** The body of an answer to another request. */
		OTHER_BODY("/once/x", "HTTP/1.1 200 OK\r\nid: other\r\nseal: s\r\n\r\n", BLOCK),
		/** A head. */
		HEAD("/once/x", "HTTP/1.1 200 OK\r\nseal: s\r\nx: ", BLOCK),
		/** Fields of a head. */
		FIELDS("/once/x", "HTTP/1.1 200 OK\r\nseal: s\r\n", "x: y\r\n".repeat(2000)),
		/** The body of an answer without length. */
		BODY("/once/x", "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\n\r\n", BLOCK),
		/** The body of a failure. */
		FAILURE("/once/x", "HTTP/1.1 500 X\r\nid: ID\r\nseal: s\r\n\r\n", BLOCK),
		/** The size of a chunk. */
		CHUNK_SIZE("/once/x", "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n1;", BLOCK),
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
