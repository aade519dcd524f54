package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
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

	private final List<HttpServer> backends = new ArrayList<>();

	private final List<LoopbackHost> hosts = new ArrayList<>();

	private SimulatedStore store;

	@BeforeEach
	void start() throws Exception {
		this.store = new SimulatedStore();
		this.store.put("op", "config",
				"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"localhost\",\"path_prefix\":\"/a/\","
						+ "\"kind\":\"idempotent\",\"timeout_ms\":2000,\"max_attempts\":2,\"service\":\"svc\"}],"
						+ "\"services\":[{\"name\":\"svc\",\"health_path\":\"/h\"}]}");
		startBackend("i-limited", this::answerNamingALimit);
		startBackend("i-other", NamedLimitTests::answer);
		for (int number = 1; number <= HOSTS; number++) {
			this.hosts.add(LoopbackHost.start("h" + number, this.store));
		}
		while (!this.hosts.stream().allMatch(LoopbackHost::ready)) {
			Thread.sleep(50);
		}
	}

	private void startBackend(String id, HttpHandler handler) throws IOException {
		HttpServer backend = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
		backend.setExecutor(Executors.newCachedThreadPool());
		backend.createContext("/", handler);
		backend.start();
		this.backends.add(backend);
		this.store.put("servers", id, "{\"service\":\"svc\",\"address\":\"127.0.0.1:" + backend.getAddress().getPort()
				+ "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"born\":5}");
	}

	private void answerNamingALimit(HttpExchange exchange) throws IOException {
		this.limitedArrivals.add(System.nanoTime());
		exchange.getResponseHeaders().set("Server-Limit", String.valueOf(LIMIT_PER_SECOND));
		answer(exchange);
	}

	private static void answer(HttpExchange exchange) throws IOException {
		exchange.getResponseHeaders().set("X-Sequoialink-Server-Seal", "s");
		String id = exchange.getRequestHeaders().getFirst("X-Sequoialink-Request-Id");
		exchange.getResponseHeaders().set("X-Sequoialink-Request-Id", id);
		exchange.sendResponseHeaders(200, -1);
		exchange.close();
	}

	@AfterEach
	void stop() {
		this.hosts.forEach((host) -> host.host().stop());
		this.backends.forEach((backend) -> backend.stop(0));
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
