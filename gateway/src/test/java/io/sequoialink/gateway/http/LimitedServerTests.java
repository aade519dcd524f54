package io.sequoialink.gateway.http;

import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import io.sequoialink.decision.limits.NamedLimit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers that name the requests a second that they take from all hosts together, over
 * loopback, with a single host.
 */
class LimitedServerTests {

	private static final String LIMIT = "limit: 0.5\r\n";

	private static ScriptedServer.Script naming(String header) {
		return (call) -> respond(call, header);
	}

	private static void respond(ScriptedServer.Call call, String header) throws IOException {
		if (!call.path().startsWith("/stream/")) {
			call.respond(200, "seal: s\r\n" + header, "hello");
			return;
		}
		call.streamHead(header);
		call.chunk("id: 1\ndata: d\n\n");
		call.endChunks();
	}

	// Guards against the incident LIMIT within one host, for each kind of request.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void furtherRequestsGoToAnotherServer(String path) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(naming(LIMIT), naming(""))) {
			for (int i = 0; i < 30; i++) {
				assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			}
			assertThat(fixture.server(1).requests()).hasSizeBetween(1, 3);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void whatNoServerTakesInTimeIsRejectedAtOnce(String path) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(naming("limit: 0\r\n"))) {
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			List<Double> returns = new ArrayList<>();
			for (int i = 0; i < 8; i++) {
				long began = System.nanoTime();
				String response = fixture.exchange(path, "");
				if (RawHttp.status(response) == 503) {
					assertThat(System.nanoTime() - began).as("time until the rejection").isLessThan(300_000_000L);
					returns.add(Double.parseDouble(RawHttp.header(response, "retry-after")));
				}
			}
			assertThat(returns).hasSizeGreaterThan(6).allMatch((seconds) -> seconds > 0.2 && seconds <= 9.5);
			assertThat(fixture.attemptCount()).isLessThanOrEqualTo(2);
		}
	}

	// The limit becomes known after the server was chosen and before the connection to
	// it is open.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void requestWaitingForItsConnectionIsWithheld(String path) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(naming(""), naming(""))) {
			AtomicBoolean named = new AtomicBoolean();
			fixture.afterChoice((placed) -> {
				if (named.compareAndSet(false, true)) {
					fixture.table().limits().received(placed.server(), NamedLimit.of(0), "r", 0, System.nanoTime());
				}
			});
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			assertThat(named).isTrue();
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	// Also a retry and a stream that goes on elsewhere need a permit.
	@ParameterizedTest
	@CsvSource({ "/safe/x, 500", "/stream/x, 0" })
	void retriesKeepTheLimitToo(String path, int status) throws Exception {
		ScriptedServer.Script failing = (call) -> {
			if (status != 0) {
				call.respond(status, "seal: s\r\n", "failed");
				return;
			}
			call.streamHead("");
			call.chunk("id: 1\ndata: d\n\n");
			call.reset();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(failing, naming(LIMIT))) {
			for (int i = 0; i < 12; i++) {
				exchangeOrCut(fixture, path);
			}
			assertThat(fixture.server(2).requests()).hasSizeBetween(1, 3);
		}
	}

	// A stream that cannot go on elsewhere is cut.
	private static void exchangeOrCut(GatewayFixture fixture, String path) throws IOException {
		try {
			fixture.exchange(path, "");
		}
		catch (SocketException ex) {
			assertThat(path).isEqualTo("/stream/x");
		}
	}

	// An answer that is dropped for a larger model's must not be dropped if no server
	// takes the larger model's request.
	@Test
	void answerIsKeptWhenNoServerTakesAnotherRequest() throws Exception {
		ScriptedServer.Script unsure = (call) -> {
			call.streamHead("confidence: 1\r\n" + LIMIT);
			call.chunk("id: 1\ndata: d\n\n");
			call.endChunks();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(unsure)) {
			assertThat(RawHttp.status(fixture.exchange("/sized/x", ""))).isEqualTo(200);
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	@ParameterizedTest
	@CsvSource({ "421, true", "200, false" })
	void limitOfAnotherServerOrOfAnUnsignedResponseDoesNotCount(int status, boolean signed) throws Exception {
		ScriptedServer.Script other = GatewayTests
			.firstOnly((call) -> call.respond(status, (signed ? "seal: s\r\n" : "") + "limit: 0\r\n", ""));
		try (GatewayFixture fixture = GatewayFixture.withServers(other)) {
			fixture.exchange("/safe/x", "");
			for (int i = 0; i < 3; i++) {
				assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			}
		}
	}

	@Test
	@Timeout(20)
	void limitEndsWithAResponseThatNamesNone() throws Exception {
		ScriptedServer.Script lifted = (call) -> respond(call, (call.number() < 3) ? "limit: 8\r\n" : "");
		try (GatewayFixture fixture = GatewayFixture.withServers(lifted)) {
			while (fixture.attemptCount() < 3) {
				fixture.exchange("/safe/x", "");
				Thread.sleep(300);
			}
			for (int i = 0; i < 30; i++) {
				assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			}
		}
	}

}
