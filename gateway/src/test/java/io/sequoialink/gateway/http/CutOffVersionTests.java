package io.sequoialink.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.OptionalDouble;

import io.sequoialink.gateway.fleet.PositionedValue;
import io.sequoialink.gateway.fleet.RolloutOrder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A version that is being rolled out, at a host that loses its path to the version's
 * servers, over loopback. Neither the version nor the usual durations may suffer from it.
 */
class CutOffVersionTests {

	/** Time in which a stream would have been found slow twice. */
	private static final long OBSERVED_MILLIS = 4200;

	private static final long SILENCE_MILLIS = 6000;

	private static final double USUAL_MILLIS = 40;

	/** Usual duration that leaves time for another response before. */
	private static final double DUE_MILLIS = 500;

	private static GatewayFixture duringRollout(ScriptedServer.Script... scripts) throws Exception {
		GatewayFixture fixture = GatewayFixture.withServers(scripts);
		fixture.onLoop(() -> {
			fixture.rollouts().onOrder(new PositionedValue<>(new RolloutOrder("svc", "v1", 60_000), 3));
			fixture.rollouts().onRead(4);
			for (String kind : new String[] { "/firm/", "/firm/ beginning", "/once/", "/safe/", "svc/" }) {
				for (int i = 0; i < 20; i++) {
					fixture.latencyBaseline().observe(kind, USUAL_MILLIS);
				}
			}
		});
		return fixture;
	}

	private static void observe(GatewayFixture fixture, long millis) throws Exception {
		long until = System.nanoTime() + millis * 1_000_000;
		while (System.nanoTime() - until < 0) {
			fixture.onLoop(fixture.rollouts()::tick);
			Thread.sleep(50);
		}
		assertThat(fixture.evidence().stream().mapToLong((seen) -> seen.targetBadAnswers()).max().orElse(0))
			.as("answers that count against the version")
			.isZero();
	}

	// Guards against a version that is blamed for streams whose server can no longer be
	// heard: their events before the cut counted as a sign that the server was alive.
	@Test
	void aStreamThatFallsSilentWithItsPathDoesNotCountAgainstItsVersion() throws Exception {
		try (SilentAddress silent = new SilentAddress(); GatewayFixture fixture = duringRollout((call) -> {
			call.streamHead("");
			for (int i = 1; i <= 3; i++) {
				call.chunk("id: " + i + "\ndata: x\n\n");
			}
			ScriptedServer.pause(SILENCE_MILLIS);
		}); GatewayFixture.Client client = fixture.connect()) {
			client.send("/firm/x", "");
			Thread.sleep(100);
			fixture.setCutOff(silent.address());
			observe(fixture, OBSERVED_MILLIS);
		}
	}

	// Guards against the same for a response that has not begun: bytes that came before
	// it
	// was due say nothing of the time after.
	@Test
	void aResponseThatIsOverdueBehindACutDoesNotCountAgainstItsVersion() throws Exception {
		try (GatewayFixture fixture = duringRollout((call) -> {
			if (call.path().endsWith("slow")) {
				ScriptedServer.pause(SILENCE_MILLIS);
			}
			else {
				call.respond(200, "seal: s\r\n", "hello");
			}
		}); GatewayFixture.Client client = fixture.connect()) {
			fixture.onLoop(() -> {
				for (int i = 0; i < 200; i++) {
					fixture.latencyBaseline().observe("/once/", DUE_MILLIS);
				}
			});
			client.send("/once/slow", "");
			fixture.exchange("/once/x", "");
			observe(fixture, OBSERVED_MILLIS);
		}
	}

	@ParameterizedTest(name = "silent: {0}, with another host: {1}")
	@CsvSource({ "true, false", "true, true", "false, false", "false, true" })
	void requestsOfACutOffHostCountNeitherAgainstAVersionNorForUsualDurations(boolean silent, boolean otherHost)
			throws Exception {
		ScriptedServer.Script good = (call) -> call.respond(200, "seal: s\r\n", "hello");
		try (SilentAddress address = new SilentAddress(); GatewayFixture fixture = duringRollout(good, good)) {
			if (otherHost) {
				fixture.startHelpingHost();
			}
			InetSocketAddress instead = silent ? address.address() : GatewayFixture.freeAddress();
			fixture.setCutOff(instead);
			for (int i = 0; i < 8; i++) {
				exchange(fixture, (i % 2 == 0) ? "/safe/x" : "/once/x");
			}
			observe(fixture, 300);
			OptionalDouble typical = fixture.latencyBaseline().typicalMillis("/once/");
			assertThat(typical.orElseThrow()).as("usual duration").isLessThan(2 * USUAL_MILLIS);
			fixture.setCutOff(false);
			assertThat(served(fixture)).as("served once the path is whole").isTrue();
		}
	}

	private static boolean served(GatewayFixture fixture) throws Exception {
		for (int i = 0; i < 20; i++) {
			if (RawHttp.status(exchange(fixture, "/once/x")) == 200) {
				return true;
			}
			Thread.sleep(100);
		}
		return false;
	}

	private static String exchange(GatewayFixture fixture, String path) throws IOException {
		return fixture.exchange(path, "");
	}

}
