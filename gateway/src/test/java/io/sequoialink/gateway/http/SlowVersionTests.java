package io.sequoialink.gateway.http;

import java.io.IOException;

import io.sequoialink.gateway.fleet.Found;
import io.sequoialink.gateway.fleet.RolloutOrder;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Slow answers of a version that is rolled out, over loopback: they count against it
 * while they are still awaited.
 */
class SlowVersionTests {

	/** Time in which a stream must have been found slow; it lasts longer. */
	private static final long MOST_MILLIS = 4500;

	private static final int STREAM_SECONDS = 5;

	// EXPOSURE on hasty: a stream with an event each half second said nothing until its
	// 16th.
	@Test
	void aSlowStreamCountsAgainstItsVersionWhileItGoesOn() throws Exception {
		try (GatewayFixture fixture = onTrial((call) -> {
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

	// EXPOSURE on hasty: an answer that is not there yet said nothing. The server is
	// heard
	// of by another request.
	@Test
	void aWaitCountsAgainstItsVersionIfItsServerIsHeardOf() throws Exception {
		try (GatewayFixture fixture = onTrial((call) -> {
			if (call.path().endsWith("slow")) {
				call.waitUntilCallerLeaves();
			}
			else {
				call.whole(200, "seal: s\r\n", "hello");
			}
		}); GatewayFixture.Client client = fixture.connect()) {
			client.send("/once/slow", "");
			Thread.sleep(100);
			fixture.exchange("/once/x", "");
			awaitBad(fixture);
		}
	}

	private static GatewayFixture onTrial(ScriptedServer.Script script) throws Exception {
		GatewayFixture fixture = GatewayFixture.before(script);
		fixture.onLoop(() -> {
			fixture.rollouts().order(new Found<>(new RolloutOrder("svc", "v1", 60_000), 3));
			fixture.rollouts().read(4);
			for (String kind : new String[] { "/firm/", "/firm/ beginning", "/once/", "svc/" }) {
				for (int i = 0; i < 20; i++) {
					fixture.pace().observe(kind, 40);
				}
			}
		});
		return fixture;
	}

	private static void awaitBad(GatewayFixture fixture) throws Exception {
		long until = System.nanoTime() + MOST_MILLIS * 1_000_000;
		while (fixture.evidence().stream().noneMatch((seen) -> seen.targetBad() > 0)) {
			assertThat(System.nanoTime()).as("an answer was found slow").isLessThan(until);
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
