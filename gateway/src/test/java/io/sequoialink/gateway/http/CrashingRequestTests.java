package io.sequoialink.gateway.http;

import java.util.List;

import io.sequoialink.gateway.crash.FingerprintCrashes;
import io.sequoialink.gateway.crash.HostCrashReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that crash every server that runs them, over loopback.
 */
class CrashingRequestTests {

	private static final ScriptedServer.Script CRASHES_ON_BAD = (call) -> {
		if (call.path().endsWith("/bad")) {
			call.crash();
		}
		else {
			call.respond(200, "seal: s\r\n", "hello");
		}
	};

	/**
	 * Wait before checking that nothing further happens: a running server answers a probe
	 * well within this time.
	 */
	private static final long NOTHING_MORE_MILLIS = 60;

	private static GatewayFixture fleet() throws Exception {
		return GatewayFixture.withServers(CRASHES_ON_BAD, CRASHES_ON_BAD, CRASHES_ON_BAD, CRASHES_ON_BAD,
				CRASHES_ON_BAD, CRASHES_ON_BAD);
	}

	@Test
	void repeatableRequestIsBlockedAfterThreeCrashes() throws Exception {
		try (GatewayFixture fixture = fleet()) {
			// some of these attempts only reach servers that are already down
			for (int i = 0; i < 8; i++) {
				fixture.exchange("/safe/bad", "");
				awaitProbes(fixture);
			}
			assertBlocked(fixture, "/safe/bad");
			assertThat(fixture.attemptCount()).isBetween(3, 4);
		}
	}

	// A suspected request is rejected with a short retry delay at first, because other
	// hosts may still report which other requests the servers were running; then it is
	// blocked with a long delay.
	private static void assertBlocked(GatewayFixture fixture, String path) throws Exception {
		String retry = "";
		long until = System.nanoTime() + 5_000_000_000L;
		while (!retry.equals("60.0")) {
			assertThat(System.nanoTime()).isLessThan(until);
			String response = fixture.exchange(path, "");
			assertThat(RawHttp.status(response)).isEqualTo(503);
			retry = RawHttp.header(response, "retry-after");
			assertThat(retry).isIn("1.5", "60.0");
			Thread.sleep(50);
		}
	}

	@Test
	void nonRepeatableRequestIsBlockedAfterThreeCrashes() throws Exception {
		try (GatewayFixture fixture = fleet()) {
			for (int i = 0; i < 3; i++) {
				assertThat(RawHttp.status(fixture.exchange("/once/bad", ""))).isEqualTo(502);
				awaitProbes(fixture);
			}
			assertBlocked(fixture, "/once/bad");
			assertThat(fixture.attemptCount()).isEqualTo(3);
		}
	}

	@Test
	void oneClientRequestCrashesAtMostTwoServers() throws Exception {
		try (GatewayFixture fixture = fleet()) {
			assertThat(RawHttp.status(fixture.exchange("/stream/bad", ""))).isEqualTo(502);
			assertThat(fixture.attemptCount()).isLessThanOrEqualTo(2);
		}
	}

	// Guards against a response to another key of the same account clearing the
	// fingerprint of a request that crashes servers (suspected cause of a BUDGET
	// violation).
	@Test
	void responseToAnotherKeyDoesNotClearTheFingerprint() throws Exception {
		ScriptedServer.Script script = (call) -> {
			if (call.header("mode").equals("fine")) {
				call.respond(200, "seal: s\r\n", "hello");
			}
			else {
				call.crash();
			}
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script, script, script, script, script)) {
			for (int i = 1; i <= 2; i++) {
				int crashes = i;
				fixture.exchange("/once/bad", "mode: bad\r\n");
				within(() -> fixture.firstPublishedCrashCount() == crashes);
			}
			try (GatewayFixture.Client other = fixture.connect()) {
				other.send("k2", "/once/bad", "mode: fine\r\n");
				assertThat(RawHttp.status(other.read())).isEqualTo(200);
			}
			assertThat(fixture.firstPublishedCrashCount()).isEqualTo(2);
		}
	}

	@Test
	void otherRequestsAreStillServed() throws Exception {
		try (GatewayFixture fixture = fleet()) {
			for (int i = 0; i < 4; i++) {
				fixture.exchange("/once/bad", "");
				awaitProbes(fixture);
			}
			assertThat(RawHttp.status(fixture.exchange("/once/good", ""))).isEqualTo(200);
			assertThat(RawHttp.status(fixture.exchange("/safe/bad2", ""))).isEqualTo(200);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/bad", "/once/bad" })
	void resetsByRunningServersAreNotCounted(String path) throws Exception {
		ScriptedServer.Script resets = ScriptedServer.Call::reset;
		try (GatewayFixture fixture = GatewayFixture.withServers(resets, resets)) {
			for (int i = 0; i < 5; i++) {
				assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(502);
				Thread.sleep(NOTHING_MORE_MILLIS);
			}
			fixture.onLoop(() -> assertThat(fixture.crashCoordinator().anySuspects()).isFalse());
		}
	}

	@Test
	void crashesReportedByOtherHostsBlockAtOnce() throws Exception {
		try (GatewayFixture fixture = fleet()) {
			fixture.exchange("/once/bad", "");
			within(() -> !fixture.published().isEmpty());
			FingerprintCrashes own = fixture.published().get(0).suspects().get(0);
			assertThat(own.crashes()).hasSize(1);
			fixture.onLoop(() -> {
				fixture.crashCoordinator().reportRead(report("h2", own.fingerprint(), 20_000));
				fixture.crashCoordinator().reportRead(report("h3", own.fingerprint(), 10_000));
			});
			assertThat(RawHttp.status(fixture.exchange("/once/bad", ""))).isEqualTo(503);
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	private static HostCrashReport report(String host, long fingerprint, long ageMillis) {
		FingerprintCrashes.Crash crash = new FingerprintCrashes.Crash("server of " + host, true, ageMillis + 20,
				ageMillis);
		return new HostCrashReport(host, List.of(new FingerprintCrashes(fingerprint, List.of(crash))), List.of());
	}

	@Test
	void crashIsNotPublishedIfTheRequestSucceedsElsewhere() throws Exception {
		ScriptedServer.Script first = GatewayTests.firstOnly(ScriptedServer.Call::crash);
		try (GatewayFixture fixture = GatewayFixture.withServers(first, first)) {
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			Thread.sleep(1200);
			assertThat(fixture.published()).isEmpty();
		}
	}

	// Servers are probed after the client has its response. Every run of the crashing
	// request ends with one counted crash.
	private static void awaitProbes(GatewayFixture fixture) throws InterruptedException {
		within(() -> fixture.firstPublishedCrashCount() == fixture.attemptCount());
	}

	private static void within(java.util.function.BooleanSupplier holds) throws InterruptedException {
		long until = System.nanoTime() + 5_000_000_000L;
		while (!holds.getAsBoolean()) {
			assertThat(System.nanoTime()).isLessThan(until);
			Thread.sleep(20);
		}
	}

}
