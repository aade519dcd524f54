package io.sequoialink.gateway.http;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Streams to clients that read slowly, over loopback: the connection to the server is
 * paused when its last bytes arrive. Guards against a connection that is kept without
 * being read, so that neither extra bytes nor its end are noticed before the next
 * request.
 */
class IdleAfterSlowClientTests {

	private static final int STREAMS = 4;

	private static final String EVENT = "data: " + "x".repeat(4000) + "\n\n";

	private static final String LAST = "id: 2500\ndata: " + "x".repeat(150_000) + "\n\n";

	private static void readSlowly(GatewayFixture.Client client) throws Exception {
		String end = "\r\n0\r\n\r\n";
		StringBuilder text = new StringBuilder();
		int sinceEnd = 0;
		while (sinceEnd < end.length()) {
			int next = client.readByte();
			assertThat(next).isNotNegative();
			sinceEnd = (next == end.charAt(sinceEnd)) ? sinceEnd + 1 : ((next == '\r') ? 1 : 0);
			text.append((char) next);
			if (text.length() == 1 << 16) {
				text.setLength(0);
				Thread.sleep(5);
			}
		}
	}

	// A byte is written while the connection is idle.
	@Test
	@Timeout(90)
	void byteOnTheIdleConnectionClosesIt() throws Exception {
		List<Long> closedAfterMillis = new CopyOnWriteArrayList<>();
		Semaphore read = new Semaphore(0);
		Semaphore closed = new Semaphore(0);
		ScriptedServer.Script script = (call) -> {
			call.streamHead("");
			for (int i = 1; i < 2500; i++) {
				call.chunk("id: " + i + "\n" + EVENT);
			}
			call.write(Integer.toHexString(LAST.length()) + "\r\n" + LAST + "\r\n0\r\n\r\n");
			read.acquireUninterruptibly();
			long start = System.nanoTime();
			call.write("x");
			call.awaitClientClose();
			closedAfterMillis.add((System.nanoTime() - start) / 1_000_000);
			closed.release();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			for (int i = 0; i < STREAMS; i++) {
				try (GatewayFixture.Client client = fixture.connect()) {
					client.send("/stream/" + i, "");
					readSlowly(client);
				}
				Thread.sleep(20);
				read.release();
				closed.tryAcquire(1500, TimeUnit.MILLISECONDS);
			}
			assertThat(closedAfterMillis).hasSize(STREAMS).allMatch((millis) -> millis < 1000);
		}
	}

}
