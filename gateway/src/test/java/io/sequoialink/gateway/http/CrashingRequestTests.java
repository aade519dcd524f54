package io.sequoialink.gateway.http;

import java.util.List;

import io.sequoialink.gateway.crash.ContentCrashes;
import io.sequoialink.gateway.crash.HostCrashes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that crash each server which begins to run them, over loopback.
 */
class CrashingRequestTests {

	private static final ScriptedServer.Script CRASHES_ON_BAD = (call) -> {
		if (call.path().endsWith("/bad")) {
			call.crash();
		}
		else {
			call.whole(200, "seal: s\r\n", "hello");
		}
	};

	/**
	 * Time in which a question to a living server is answered, for checks that nothing
	 * follows.
	 */
	private static final long NOTHING_MORE_MILLIS = 60;

	private static GatewayFixture fleet() throws Exception {
		return GatewayFixture.before(CRASHES_ON_BAD, CRASHES_ON_BAD, CRASHES_ON_BAD, CRASHES_ON_BAD, CRASHES_ON_BAD,
				CRASHES_ON_BAD);
	}

	@Test
	void aRepeatableRequestReachesNoServerAfterItCrashedThree() throws Exception {
		try (GatewayFixture fixture = fleet()) {
			// some of these only meet servers that are down
			for (int i = 0; i < 8; i++) {
				fixture.exchange("/safe/bad", "");
				settle(fixture);
			}
			assertRefusedForLong(fixture, "/safe/bad");
			assertThat(fixture.runs()).isBetween(3, 4);
		}
	}

	// For a moment the client is told to come back soon, while other hosts may still tell
	// what else the servers ran; it is refused all the while.
	private static void assertRefusedForLong(GatewayFixture fixture, String path) throws Exception {
		String retry = "";
		long until = System.nanoTime() + 5_000_000_000L;
		while (!retry.equals("60.0")) {
			assertThat(System.nanoTime()).isLessThan(until);
			String answer = fixture.exchange(path, "");
			assertThat(RawHttp.status(answer)).isEqualTo(503);
			retry = RawHttp.header(answer, "retry-after");
			assertThat(retry).isIn("1.5", "60.0");
			Thread.sleep(50);
		}
	}

	@Test
	void aRequestThatMayNotBeRepeatedIsRefusedAfterThreeCrashes() throws Exception {
		try (GatewayFixture fixture = fleet()) {
			for (int i = 0; i < 3; i++) {
				assertThat(RawHttp.status(fixture.exchange("/once/bad", ""))).isEqualTo(502);
				settle(fixture);
			}
			assertRefusedForLong(fixture, "/once/bad");
			assertThat(fixture.runs()).isEqualTo(3);
		}
	}

	@Test
	void oneClientAttemptCrashesTwoServersAtMost() throws Exception {
		try (GatewayFixture fixture = fleet()) {
			assertThat(RawHttp.status(fixture.exchange("/stream/bad", ""))).isEqualTo(502);
			assertThat(fixture.runs()).isLessThanOrEqualTo(2);
		}
	}

	// BUDGET (suspected): another caller of the same account asked for the same path and
	// was answered, which ended the suspicion against what crashed servers.
	@Test
	void anAnswerToAnotherCallerEndsNoSuspicion() throws Exception {
		ScriptedServer.Script script = (call) -> {
			if (call.header("mode").equals("fine")) {
				call.whole(200, "seal: s\r\n", "hello");
			}
			else {
				call.crash();
			}
		};
		try (GatewayFixture fixture = GatewayFixture.before(script, script, script, script, script, script)) {
			for (int i = 1; i <= 2; i++) {
				int crashes = i;
				fixture.exchange("/once/bad", "mode: bad\r\n");
				within(() -> fixture.crashesOfFirstPublished() == crashes);
			}
			try (GatewayFixture.Client other = fixture.connect()) {
				other.send("k2", "/once/bad", "mode: fine\r\n");
				assertThat(RawHttp.status(other.read())).isEqualTo(200);
			}
			assertThat(fixture.crashesOfFirstPublished()).isEqualTo(2);
		}
	}

	@Test
	void otherRequestsAreServedBesideIt() throws Exception {
		try (GatewayFixture fixture = fleet()) {
			for (int i = 0; i < 4; i++) {
				fixture.exchange("/once/bad", "");
				settle(fixture);
			}
			assertThat(RawHttp.status(fixture.exchange("/once/good", ""))).isEqualTo(200);
			assertThat(RawHttp.status(fixture.exchange("/safe/bad2", ""))).isEqualTo(200);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/bad", "/once/bad" })
	void connectionsThatAreResetByLivingServersCountForNothing(String path) throws Exception {
		ScriptedServer.Script resets = ScriptedServer.Call::reset;
		try (GatewayFixture fixture = GatewayFixture.before(resets, resets)) {
			for (int i = 0; i < 5; i++) {
				assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(502);
				Thread.sleep(NOTHING_MORE_MILLIS);
			}
			fixture.onLoop(() -> assertThat(fixture.crashes().any()).isFalse());
		}
	}

	@Test
	void whatOtherHostsReportedIsRefusedAtOnce() throws Exception {
		try (GatewayFixture fixture = fleet()) {
			fixture.exchange("/once/bad", "");
			within(() -> !fixture.published().isEmpty());
			ContentCrashes own = fixture.published().get(0).contents().get(0);
			assertThat(own.crashes()).hasSize(1);
			fixture.onLoop(() -> {
				fixture.crashes().take(report("h2", own.content(), 20_000));
				fixture.crashes().take(report("h3", own.content(), 10_000));
			});
			assertThat(RawHttp.status(fixture.exchange("/once/bad", ""))).isEqualTo(503);
			assertThat(fixture.runs()).isEqualTo(1);
		}
	}

	private static HostCrashes report(String host, long content, long ageMillis) {
		ContentCrashes.Crash crash = new ContentCrashes.Crash("server of " + host, true, ageMillis + 20, ageMillis);
		return new HostCrashes(host, List.of(new ContentCrashes(content, List.of(crash))), List.of());
	}

	@Test
	void aServersOwnCrashIsNotPublishedOnceItsRequestIsAnsweredElsewhere() throws Exception {
		ScriptedServer.Script first = GatewayTests.firstOnly(ScriptedServer.Call::crash);
		try (GatewayFixture fixture = GatewayFixture.before(first, first)) {
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			Thread.sleep(1200);
			assertThat(fixture.published()).isEmpty();
		}
	}

	// The question whether a server still takes connections is answered after the client;
	// each run of the request that crashes servers ends with one crash.
	private static void settle(GatewayFixture fixture) throws InterruptedException {
		within(() -> fixture.crashesOfFirstPublished() == fixture.runs());
	}

	private static void within(java.util.function.BooleanSupplier holds) throws InterruptedException {
		long until = System.nanoTime() + 5_000_000_000L;
		while (!holds.getAsBoolean()) {
			assertThat(System.nanoTime()).isLessThan(until);
			Thread.sleep(20);
		}
	}

}
