package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that come back to a server that has answered them, or that has been started
 * again under its id, over loopback. Guards against taking a late second answer of the
 * first run for that of the repeat (MIXED).
 */
class RepeatAtSameServerTests {

	private static final String EXTRA = "extra";

	private static String answer(int status, String headers, String body) {
		return "HTTP/1.1 " + status + " X\r\n" + headers + "seal: s\r\ncontent-length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	private static String named(ScriptedServer.Call call) {
		return "id: " + call.header("id") + "\r\n";
	}

	private static void fail(ScriptedServer.Call call) throws IOException {
		call.respond(500, "seal: s\r\n", "own");
	}

	// The server is started again under its id while the request waits for it or comes
	// back; the old one answers twice, late.
	@ParameterizedTest
	@CsvSource({ "0", "60" })
	@Timeout(20)
	void extraAnswerOfAServerIsNotTakenAfterItsRestart(int pauseMillis) throws Exception {
		CountDownLatch asked = new CountDownLatch(1);
		CountDownLatch restarted = new CountDownLatch(1);
		try (GatewayFixture fixture = GatewayFixture.withServers((call) -> {
			asked.countDown();
			await(restarted);
			fail(call);
			ScriptedServer.pause(pauseMillis);
			call.write(answer(200, named(call), EXTRA));
		}); GatewayFixture.Client client = fixture.connect()) {
			client.send("/safe/x", "");
			await(asked);
			fixture.restartServer(1, (call) -> {
				ScriptedServer.pause(100);
				fail(call);
			});
			restarted.countDown();
			String response = client.read();
			assertThat(RawHttp.status(response) + RawHttp.body(response)).isEqualTo("500own");
			assertThat(fixture.server(2).requests()).hasSize(1);
		}
	}

	// Other servers refuse connections, so that the request comes back to the one that
	// has
	// failed: the late answer is on the connection that was kept.
	@Test
	@Timeout(20)
	void extraAnswerIsNotTakenWhenOtherServersRefuseConnections() throws Exception {
		ScriptedServer.Script script = (call) -> {
			fail(call);
			call.write(answer(200, named(call), EXTRA));
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script, script, script)) {
			for (int number = 2; number <= 4; number++) {
				fixture.server(number).refuseConnections();
			}
			for (int i = 0; i < 10; i++) {
				assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isIn(500, 503);
			}
		}
	}

	private static void await(CountDownLatch latch) throws IOException {
		try {
			assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

}
