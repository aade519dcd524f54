package io.sequoialink.gateway.http;

import java.io.IOException;

import io.sequoialink.gateway.fleet.PositionedValue;
import io.sequoialink.gateway.fleet.RolloutOrder;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Slow responses of a version that is being rolled out, over loopback. They count as bad
 * before they are complete.
 */
class SlowVersionTests {

	/** Time within which a stream must be found slow; the stream lasts longer. */
	private static final long MOST_MILLIS = 4500;

	private static final int STREAM_SECONDS = 5;

	// Guards against an EXPOSURE violation found by the "hasty" run: a stream with one
	// event per half second was not evaluated before its 16th event.
	@Test
	void slowStreamCountsAsBadWhileItIsRunning() throws Exception {
		try (GatewayFixture fixture = duringRollout((call) -> {
			call.streamHead("");
			for (int i = 1; i <= 2 * STREAM_SECONDS; i++) {
				call.chunk("id: " + i + "\ndata: x\n\n");
				pause(500);
			}
			call.endChunks();
		}); GatewayFixture.Client client = fixture.connect()) {
			client.send("/firm/x", "");
			awaitBad(fixture);
		}
	}

	// Guards against an EXPOSURE violation found by the "hasty" run: a response that
	// had not arrived yet was not counted. Another request shows that the server is
	// active.
	@Test
	void overdueResponseCountsAsBadIfItsServerIsActive() throws Exception {
		try (GatewayFixture fixture = duringRollout((call) -> {
			if (call.path().endsWith("slow")) {
				call.awaitClientClose();
			}
			else {
				call.respond(200, "seal: s\r\n", "hello");
			}
		}); GatewayFixture.Client client = fixture.connect()) {
			client.send("/once/slow", "");
			Thread.sleep(100);
			fixture.exchange("/once/x", "");
			awaitBad(fixture);
		}
	}

	private static GatewayFixture duringRollout(ScriptedServer.Script script) throws Exception {
		GatewayFixture fixture = GatewayFixture.withServers(script);
		fixture.onLoop(() -> {
			fixture.rollouts().onOrder(new PositionedValue<>(new RolloutOrder("svc", "v1", 60_000), 3));
			fixture.rollouts().onRead(4);
			for (String kind : new String[] { "/firm/", "/firm/ beginning", "/once/", "svc/" }) {
				for (int i = 0; i < 20; i++) {
					fixture.latencyBaseline().observe(kind, 40);
				}
			}
		});
		return fixture;
	}

	private static void awaitBad(GatewayFixture fixture) throws Exception {
		long until = System.nanoTime() + MOST_MILLIS * 1_000_000;
		while (fixture.evidence().stream().noneMatch((seen) -> seen.targetBadAnswers() > 0)) {
			assertThat(System.nanoTime()).as("a response was reported as slow").isLessThan(until);
			fixture.onLoop(fixture.rollouts()::tick);
			Thread.sleep(50);
		}
	}

	private static void pause(long millis) throws IOException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException(ex);
		}
	}

}
