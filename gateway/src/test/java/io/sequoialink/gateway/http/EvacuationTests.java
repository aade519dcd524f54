package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.sequoialink.gateway.fleet.StorePosition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Evacuated zones on each way to a server, over loopback. Each server is in a zone with
 * its own name, unless the test says otherwise.
 */
class EvacuationTests {

	private static final String EVENT = "id: 1\ndata: d\n\n";

	private GatewayFixture fixture;

	private void start(ScriptedServer.Script... scripts) throws Exception {
		this.fixture = GatewayFixture.withServers(scripts);
		this.fixture.separateZones();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private static void respond(ScriptedServer.Call call) throws IOException {
		if (!call.path().startsWith("/stream/")) {
			call.respond(200, "seal: s\r\n", "hello");
			return;
		}
		call.streamHead("");
		call.chunk(EVENT);
		call.endChunks();
	}

	private int status(String path) throws IOException {
		return RawHttp.status(this.fixture.exchange(path, ""));
	}

	private void end(String zone) throws Exception {
		this.fixture.onLoop(() -> this.fixture.evacuated().end(zone));
	}

	// Guards against a balancer that still chooses servers of the zone.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void requestsGoToOtherZones(String path) throws Exception {
		start(EvacuationTests::respond, EvacuationTests::respond);
		this.fixture.evacuate("s1");
		for (int i = 0; i < 20; i++) {
			assertThat(status(path)).isEqualTo(200);
		}
		assertThat(this.fixture.server(1).requests()).isEmpty();
	}

	// Guards against a last resort that sends to the last zone, against requests held
	// until their deadline, and against clients that all return at once.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/once/x", "/stream/x" })
	void requestsAreRejectedAtOnceWhenTheLastZoneIsEvacuated(String path) throws Exception {
		start(EvacuationTests::respond);
		this.fixture.evacuate("s1");
		long began = System.nanoTime();
		Set<Double> returns = new HashSet<>();
		for (int i = 0; i < 10; i++) {
			String response = this.fixture.exchange(path, "");
			assertThat(RawHttp.status(response)).isEqualTo(503);
			returns.add(Double.parseDouble(RawHttp.header(response, "retry-after")));
		}
		assertThat(System.nanoTime() - began).isLessThan(TimeUnit.SECONDS.toNanos(3));
		assertThat(returns).hasSizeGreaterThan(3).allMatch((seconds) -> seconds >= 0.3 && seconds <= 1.3);
		assertThat(this.fixture.attemptCount()).isZero();
		end("s1");
		assertThat(status(path)).isEqualTo(200);
	}

	// Guards against retries and resumed streams in a zone that was evacuated during the
	// first attempt.
	@ParameterizedTest
	@ValueSource(strings = { "/safe/x", "/stream/x" })
	void aFurtherAttemptStaysOutOfTheZone(String path) throws Exception {
		start(failsOnceAndEvacuates("s2"), failsOnceAndEvacuates("s1"));
		assertThat(status(path)).isEqualTo(200);
		assertThat(this.fixture.attemptCount()).isEqualTo(2);
		assertThat(this.fixture.server(1).requests().isEmpty() || this.fixture.server(2).requests().isEmpty()).isTrue();
	}

	private ScriptedServer.Script failsOnceAndEvacuates(String zone) {
		return (call) -> {
			if (call.number() > 1) {
				respond(call);
				return;
			}
			this.fixture.evacuate(zone);
			breakOff(call);
		};
	}

	private static void breakOff(ScriptedServer.Call call) throws IOException {
		if (call.path().startsWith("/stream/")) {
			call.streamHead("");
			call.chunk("id: 0\ndata: d\n\n");
		}
		call.reset();
	}

	// Guards against a stream that ends though a server may be usable again soon, and
	// against one that goes on in the zone.
	@Test
	@Timeout(10)
	void aBegunStreamWaitsWhileAllZonesAreEvacuated() throws Exception {
		start((call) -> {
			if (call.number() > 1) {
				respond(call);
				return;
			}
			this.fixture.evacuate("s1");
			breakOff(call);
		});
		try (GatewayFixture.Client client = this.fixture.connect()) {
			client.send("/stream/x", "");
			awaitAttempt();
			Thread.sleep(300);
			assertThat(this.fixture.attemptCount()).isEqualTo(1);
			end("s1");
			assertThat(RawHttp.body(client.read())).contains("id: 0", "id: 1");
		}
	}

	// Guards against requests that were held at the start of the host and are then sent
	// without a check.
	@Test
	void aHeldRequestIsNotSentToTheZone() throws Exception {
		this.fixture = GatewayFixture.withoutConfiguration(EvacuationTests::respond);
		try (GatewayFixture.Client client = this.fixture.connect()) {
			client.send("/once/x", "");
			Thread.sleep(100);
			this.fixture.evacuate("z");
			this.fixture.publishConfiguration();
			assertThat(RawHttp.status(client.read())).isEqualTo(503);
		}
		assertThat(this.fixture.attemptCount()).isZero();
	}

	// Guards against requests that are written to a connection that was being opened when
	// the zone was evacuated.
	@ParameterizedTest
	@CsvSource({ "/safe/x, 2", "/once/x, 2", "/stream/x, 2", "/safe/x, 1", "/once/x, 1" })
	void aRequestWhoseConnectionIsBeingOpenedIsNotWritten(String path, int servers) throws Exception {
		ScriptedServer.Script[] scripts = new ScriptedServer.Script[servers];
		Arrays.fill(scripts, (ScriptedServer.Script) EvacuationTests::respond);
		start(scripts);
		AtomicBoolean done = new AtomicBoolean();
		String[] zone = new String[1];
		this.fixture.afterChoice((placed) -> {
			if (done.compareAndSet(false, true)) {
				zone[0] = placed.server().entry().zone();
				this.fixture.evacuated().evacuate(zone[0], new StorePosition(1, 1));
			}
		});
		assertThat(status(path)).isEqualTo((servers > 1) ? 200 : 503);
		assertThat(this.fixture.server(Integer.parseInt(zone[0].substring(1))).requests()).isEmpty();
	}

	// Guards against requests that get a permit for a server after its zone was
	// evacuated.
	@Test
	@Timeout(20)
	void aRequestThatAsksForAPermitIsNotSent() throws Exception {
		start((call) -> call.respond(200, "seal: s\r\nlimit: 8\r\n", "hello"));
		assertThat(status("/safe/x")).isEqualTo(200);
		this.fixture.afterChoice((placed) -> this.fixture.evacuated().evacuate("s1", new StorePosition(1, 1)));
		for (int i = 0; i < 5 || granted() == 0; i++) {
			end("s1");
			assertThat(status("/safe/x")).isEqualTo(503);
		}
		assertThat(this.fixture.attemptCount()).isEqualTo(1);
	}

	private long granted() {
		return this.fixture.counts()
			.permits()
			.counts()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().contains("granted"))
			.mapToLong(Map.Entry::getValue)
			.sum();
	}

	// Guards against a response that is dropped for a larger model though no server is
	// left for it, and against the request to the larger model in the zone.
	@Test
	@Timeout(10)
	void aLargerModelIsNotAskedInTheZone() throws Exception {
		start((call) -> {
			this.fixture.evacuate("s1");
			call.streamHead("confidence: 5\r\n");
			call.chunk(EVENT);
			call.endChunks();
		});
		String response = this.fixture.exchange("/sized/x", "");
		assertThat(RawHttp.status(response)).isEqualTo(200);
		assertThat(RawHttp.body(response)).isEqualTo(EVENT);
		assertThat(this.fixture.attemptCount()).isEqualTo(1);
	}

	// Guards against evacuations that cut what is in flight, on a direct connection or on
	// one that is carried for another host.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	@Timeout(10)
	void aRequestInFlightFinishesInTheZone(boolean carried) throws Exception {
		CountDownLatch evacuated = new CountDownLatch(1);
		ScriptedServer.Script slow = (call) -> {
			call.streamHead("");
			call.chunk(EVENT);
			await(evacuated);
			call.chunk("id: 2\ndata: d\n\n");
			call.endChunks();
		};
		start(slow, slow);
		this.fixture.startHelpingHost();
		this.fixture.setCutOff(carried);
		try (GatewayFixture.Client client = this.fixture.connect()) {
			client.send("/stream/x", "");
			awaitAttempt();
			evacuateAtHelpingHost();
			this.fixture.evacuate("s1");
			this.fixture.evacuate("s2");
			evacuated.countDown();
			assertThat(RawHttp.body(client.read())).contains("id: 1", "id: 2");
		}
		assertThat(this.fixture.attemptCount()).isEqualTo(1);
	}

	private void awaitAttempt() throws InterruptedException {
		while (this.fixture.attemptCount() == 0) {
			Thread.sleep(5);
		}
	}

	private void evacuateAtHelpingHost() throws Exception {
		this.fixture.onLoop(() -> {
			this.fixture.evacuatedAtHelpingHost().evacuate("s1", new StorePosition(1, 1));
			this.fixture.evacuatedAtHelpingHost().evacuate("s2", new StorePosition(1, 1));
		});
	}

	private static void await(CountDownLatch latch) {
		try {
			assertThat(latch.await(5, TimeUnit.SECONDS)).isTrue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Guards against a host that carries requests to the zone for one that does not know
	// of the evacuation, on a new connection or on one that is open.
	@ParameterizedTest
	@CsvSource({ "/once/x, 0", "/safe/x, 0", "/safe/x, 1", "/stream/x, 1" })
	void noFurtherRequestIsCarriedForAnotherHost(String path, int before) throws Exception {
		start(EvacuationTests::respond, EvacuationTests::respond);
		this.fixture.startHelpingHost();
		this.fixture.setCutOff(true);
		for (int i = 0; i < before; i++) {
			assertThat(status(path)).isEqualTo(200);
		}
		evacuateAtHelpingHost();
		for (int i = 0; i < 3; i++) {
			assertThat(status(path)).isIn(502, 503);
		}
		assertThat(this.fixture.attemptCount()).isEqualTo(before);
	}

}
