package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Responses with neither a length nor chunks, which end with their connection, over
 * loopback. Guards against taking a broken one for complete, and a complete one for
 * broken.
 */
class ConnectionEndedResponseTests {

	private static final String EVENTS = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";

	private static void head(ScriptedServer.Call call) throws IOException {
		call.write("HTTP/1.1 200 OK\r\nid: " + call.header("id") + "\r\nseal: s\r\n\r\n");
	}

	private static ScriptedServer.Script writing(String body) {
		return (call) -> {
			head(call);
			call.write(body);
			call.close();
		};
	}

	@Test
	void bodyThatEndsWithItsConnectionIsComplete() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(writing("hello"))) {
			String response = fixture.exchange("/safe/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(200);
			assertThat(response).endsWith("hello");
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	@Test
	void bodyWhoseConnectionIsResetIsNotComplete() throws Exception {
		ScriptedServer.Script script = (call) -> {
			head(call);
			call.write("hel");
			call.reset();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script)) {
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(502);
			assertThat(fixture.attemptCount()).isEqualTo(2);
		}
	}

	@Test
	void streamThatEndsAfterAWholeEventIsComplete() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(writing(EVENTS))) {
			String response = fixture.exchange("/stream/x", "");
			assertThat(response).contains("id: 1").contains("id: 2").doesNotEndWith("<cut>");
			assertThat(fixture.attemptCount()).isEqualTo(1);
			fixture.onLoop(() -> assertThat(fixture.crashCoordinator().anySuspects()).isFalse());
		}
	}

	@Test
	void streamThatEndsInsideAnEventIsResumedAtAnotherServer() throws Exception {
		ScriptedServer.Script script = (call) -> {
			head(call);
			call.write((call.header("last-event-id") != null) ? "id: 3\ndata: x\n\n" : EVENTS + "id: 3\nda");
			call.close();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script)) {
			String response = fixture.exchange("/stream/x", "");
			assertThat(response).containsOnlyOnce("id: 3").doesNotEndWith("<cut>");
			assertThat(fixture.attemptCount()).isEqualTo(2);
		}
	}

	@Test
	void streamThatEndsInsideAnEventAndCanNotBeResumedDoesNotLookComplete() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(writing(EVENTS + "id: 3\nda"));
				GatewayFixture.Client client = fixture.connect()) {
			client.send("/firm/x", "");
			assertThat(client.readToEnd()).contains("id: 2").doesNotContain("id: 3").doesNotContain("\r\n0\r\n\r\n");
		}
	}

	// A server that dies ends such a stream as well; an empty answer would look complete.
	@ParameterizedTest
	@ValueSource(strings = { "", "id: 1\nda" })
	void streamThatEndsBeforeItsFirstEventIsSentToAnotherServer(String beginning) throws Exception {
		AtomicInteger attempts = new AtomicInteger();
		ScriptedServer.Script script = (call) -> {
			head(call);
			call.write((attempts.incrementAndGet() == 1) ? beginning : EVENTS);
			call.close();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script)) {
			assertThat(fixture.exchange("/stream/x", "")).contains("id: 1").doesNotEndWith("<cut>");
			assertThat(attempts).hasValue(2);
		}
	}

	@Test
	void resumedStreamWithoutFurtherEventsIsCompleteIfASecondServerEndsItLikewise() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(writing(""), writing(""))) {
			String response = fixture.exchange("/stream/x", "last-event-id: 9\r\n");
			assertThat(RawHttp.status(response)).isEqualTo(200);
			assertThat(fixture.attemptCount()).isEqualTo(2);
		}
	}

	// Guards against a resumed stream that looks complete since the server that was to go
	// on with it died before its next event.
	@Test
	void resumedStreamWhoseServerDiesBeforeItsNextEventGoesOnAtAnother() throws Exception {
		AtomicInteger resumed = new AtomicInteger();
		ScriptedServer.Script script = (call) -> {
			head(call);
			if (call.header("last-event-id") == null) {
				call.write(EVENTS + "id: 3\nda");
			}
			else if (resumed.incrementAndGet() == 2) {
				call.write("id: 3\ndata: x\n\n");
			}
			call.close();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script, script, script)) {
			assertThat(fixture.exchange("/stream/x", "")).containsOnlyOnce("id: 3").doesNotEndWith("<cut>");
			assertThat(fixture.attemptCount()).isEqualTo(3);
		}
	}

	@Test
	void serverThatDiesInsideAnEventCountsAsACrash() throws Exception {
		ScriptedServer.Script script = (call) -> {
			head(call);
			call.write("id: 1\nda");
			ScriptedServer.refuse(call);
			call.close();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			fixture.exchange("/firm/x", "");
			long until = System.nanoTime() + 5_000_000_000L;
			while (fixture.published().isEmpty()) {
				assertThat(System.nanoTime()).isLessThan(until);
				Thread.sleep(20);
			}
			assertThat(fixture.published().get(0).suspects()).hasSize(1);
		}
	}

}
