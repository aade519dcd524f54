package io.sequoialink.gateway.http;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.sequoialink.gateway.place.SelectedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cold servers that take one request a second, over loopback, with a single host.
 */
class ColdServerTests {

	private static final int COLD_MILLIS = 60_000;

	/** Time after which a host that has started issues permits, with some reserve. */
	private static final long FIRST_PERMITS_NANOS = 3_000_000_000L;

	private static ScriptedServer.Script saying(String header) {
		return (call) -> {
			if (!call.path().startsWith("/stream/")) {
				call.respond(200, "seal: s\r\n" + header, "hello");
				return;
			}
			call.streamHead(header);
			call.chunk("id: 1\ndata: d\n\n");
			call.endChunks();
		};
	}

	// Guards against servers that crash in their first seconds. A response without a
	// limit, as all of these are, ends a named limit but not the cold time.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void warmServersTakeWhatAColdOneDoesNot(String path) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(saying("cold: " + COLD_MILLIS + "\r\n"), saying(""))) {
			for (int i = 0; i < 30; i++) {
				assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			}
			assertThat(fixture.server(1).requests()).hasSizeBetween(1, 4);
		}
	}

	// The server turns cold after it was chosen and before the connection to it is open.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void requestWaitingForItsConnectionIsWithheld(String path) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(saying(""), saying(""))) {
			AtomicBoolean turned = new AtomicBoolean();
			fixture.afterChoice((placed) -> {
				if (turned.compareAndSet(false, true)) {
					turnCold(fixture, placed);
				}
			});
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(200);
			assertThat(turned).isTrue();
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	private static void turnCold(GatewayFixture fixture, SelectedServer placed) {
		fixture.table().cold().received(placed.server(), COLD_MILLIS, "r", 0, System.nanoTime());
	}

	// A permit of a named limit may have been issued at a higher rate than the server
	// bears when it has turned cold.
	@Test
	void permitFromBeforeTheServerTurnedColdIsNotUsed() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(saying("limit: 1000\r\n"), saying(""))) {
			long begin = System.nanoTime();
			AtomicInteger received = new AtomicInteger(-1);
			fixture.afterChoice((placed) -> {
				boolean permits = System.nanoTime() - begin > FIRST_PERMITS_NANOS;
				if (permits && placed.server().entry().id().equals("s1") && received.get() < 0) {
					received.set(fixture.server(1).requests().size());
					fixture.afterTask(() -> turnCold(fixture, placed));
				}
			});
			while (received.get() < 0) {
				assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
				Thread.sleep(10);
			}
			assertThat(fixture.server(1).requests()).hasSize(received.get());
		}
	}

	// A misdirected request was answered by another server than the one addressed.
	@Test
	void theHeaderOfAnotherServerDoesNotCount() throws Exception {
		try (GatewayFixture fixture = GatewayFixture
			.withServers((call) -> call.respond(421, "seal: s\r\nnot-run: 1\r\ncold: " + COLD_MILLIS + "\r\n", ""))) {
			fixture.exchange("/safe/x", "");
			fixture.onLoop(() -> assertThat(fixture.table().cold().count()).isZero());
		}
	}

}
