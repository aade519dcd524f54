package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers that send very small pieces without end, over loopback, to several requests at
 * once. Guards against other requests that go without an answer meanwhile, because the
 * event loop is busy with the pieces (LOST, report of other operators).
 */
class EndlessSmallPiecesTests {

	private static final int BAD_REQUESTS = 6;

	private static final int GOOD_REQUESTS = 20;

	/** A client gives a request up that is not read within a second. */
	private static final long MAX_MILLIS = 1000;

	@ParameterizedTest
	@EnumSource
	@Timeout(60)
	void otherRequestsAreAnsweredMeanwhile(Endless kind) throws Exception {
		AtomicBoolean stopped = new AtomicBoolean();
		ScriptedServer.Script script = (call) -> {
			if (call.path().endsWith("good")) {
				call.respond(200, "seal: s\r\n", "good");
				return;
			}
			call.write(kind.begin.replace("ID", call.header("id")));
			while (!stopped.get()) {
				call.write(kind.more);
			}
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			List<Thread> bad = new ArrayList<>();
			for (int i = 0; i < BAD_REQUESTS; i++) {
				bad.add(startRepeating(fixture, kind.path, stopped));
			}
			long slowest = slowestGoodRequest(fixture);
			stopped.set(true);
			for (Thread thread : bad) {
				thread.join();
			}
			assertThat(slowest).isLessThan(MAX_MILLIS);
		}
	}

	private static long slowestGoodRequest(GatewayFixture fixture) throws Exception {
		long slowest = 0;
		for (int i = 0; i < GOOD_REQUESTS; i++) {
			long began = System.nanoTime();
			assertThat(RawHttp.status(fixture.exchange("/safe/good", ""))).isEqualTo(200);
			slowest = Math.max(slowest, (System.nanoTime() - began) / 1_000_000);
			Thread.sleep(25);
		}
		return slowest;
	}

	private static Thread startRepeating(GatewayFixture fixture, String path, AtomicBoolean stopped) {
		Thread thread = new Thread(() -> {
			while (!stopped.get()) {
				try {
					fixture.exchange(path, "deadline: 3000\r\n");
				}
				catch (IOException ex) {
					// the gateway breaks such a response off
				}
			}
		}, "bad-client");
		thread.start();
		return thread;
	}

	/** Response that never ends. */
	enum Endless {

		/** Chunks of the body of a success. */
		BODY("/once/bad", "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n",
				"4\r\naaaa\r\n".repeat(2000)),
		/** Chunks of the body of a failure, which may be sent again. */
		FAILURE("/safe/bad", "HTTP/1.1 500 X\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n",
				"4\r\naaaa\r\n".repeat(2000)),
		/** Chunks of one event. */
		EVENT("/stream/bad", "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n",
				"4\r\naaaa\r\n".repeat(2000)),
		/** Small events. */
		EVENTS("/stream/bad", "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n",
				"7\r\nid: 1\n\n\r\n".repeat(2000)),
		/** Comments of a stream that is not forwarded yet. */
		COMMENTS("/sized/bad",
				"HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\nconfidence: 5\r\ntransfer-encoding: chunked\r\n\r\n",
				"4\r\n: \n\n\r\n".repeat(2000));

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
