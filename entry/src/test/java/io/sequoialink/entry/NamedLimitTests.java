package io.sequoialink.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import com.sun.net.httpserver.HttpExchange;
import io.sequoialink.soak.SimulatedStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs six complete entry hosts on loopback in front of two backend servers, one of which
 * names a limit in its responses.
 */
class NamedLimitTests {

	private static final int HOSTS = 6;

	private static final double LIMIT_PER_SECOND = 1.1;

	private static final long RUN_NANOS = 12_000_000_000L;

	private static final long PAUSE_MILLIS = 100;

	/** The platform's bound holds from this long after the limit was first named. */
	private static final long STABLE_NANOS = 3_000_000_000L;

	/** Requests count from this long after their host passed on such a response. */
	private static final long TOLD_NANOS = 500_000_000L;

	private static final long WINDOW_NANOS = 4_000_000_000L;

	private final List<Long> limitedArrivals = Collections.synchronizedList(new ArrayList<>());

	private final List<LoopbackBackend> backends = new ArrayList<>();

	private final List<LoopbackHost> hosts = new ArrayList<>();

	private SimulatedStore store;

	@BeforeEach
	void start() throws Exception {
		this.store = new SimulatedStore();
		this.store.put("op", "config",
				"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"localhost\",\"path_prefix\":\"/a/\","
						+ "\"kind\":\"idempotent\",\"timeout_ms\":2000,\"max_attempts\":2,\"service\":\"svc\"}],"
						+ "\"services\":[{\"name\":\"svc\",\"health_path\":\"/h\"}]}");
		this.backends.add(LoopbackBackend.start("i-limited", this.store, this::answerNamingALimit));
		this.backends.add(LoopbackBackend.start("i-other", this.store, LoopbackBackend::answer));
		for (int number = 1; number <= HOSTS; number++) {
			this.hosts.add(LoopbackHost.start("h" + number, this.store));
		}
		while (!this.hosts.stream().allMatch(LoopbackHost::ready)) {
			Thread.sleep(50);
		}
	}

	private void answerNamingALimit(HttpExchange exchange) throws IOException {
		this.limitedArrivals.add(System.nanoTime());
		exchange.getResponseHeaders().set("Server-Limit", String.valueOf(LIMIT_PER_SECOND));
		LoopbackBackend.answer(exchange);
	}

	@AfterEach
	void stop() {
		this.hosts.forEach((host) -> host.host().stop());
		this.backends.forEach(LoopbackBackend::close);
		this.store.close();
	}

	// Guards against the incident LIMIT: hosts went on sending a server several times
	// the requests that it had said it takes from all of them together.
	@Test
	void aServerGetsNoMoreThanTheLimitThatItNamedFromAllHostsTogether() throws Exception {
		List<Integer> statuses = Collections.synchronizedList(new ArrayList<>());
		long began = System.nanoTime();
		List<Thread> clients = new ArrayList<>();
		for (LoopbackHost host : this.hosts) {
			Thread client = new Thread(() -> sendUntil(began + RUN_NANOS, host, statuses), "client");
			client.start();
			clients.add(client);
		}
		for (Thread client : clients) {
			client.join();
		}
		long told = this.limitedArrivals.get(0) + TOLD_NANOS;
		List<Long> counted = this.limitedArrivals.stream().filter((at) -> at - told > 0).toList();
		double allowed = 1.5 * LIMIT_PER_SECOND * WINDOW_NANOS / 1e9 + 5;
		for (long at : counted) {
			long until = Math.max(at + WINDOW_NANOS, this.limitedArrivals.get(0) + STABLE_NANOS);
			assertThat(counted.stream().filter((each) -> until - each >= 0 && until - each < WINDOW_NANOS))
				.as("requests in 4 s to a server with a limit of %s a second", LIMIT_PER_SECOND)
				.hasSizeLessThanOrEqualTo((int) allowed);
		}
		assertThat(counted).as("a limited server keeps a part of the requests").hasSizeGreaterThan(3);
		assertThat(statuses).as("another server takes the rest").containsOnly(200);
	}

	private static void sendUntil(long end, LoopbackHost host, List<Integer> statuses) {
		try {
			while (System.nanoTime() - end < 0) {
				statuses.add(host.get("/a/x"));
				Thread.sleep(PAUSE_MILLIS);
			}
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
