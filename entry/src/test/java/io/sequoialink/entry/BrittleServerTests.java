package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.sequoialink.soak.SimulatedStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs six complete entry hosts on loopback in front of three backend servers that say
 * that they are brittle, and get more requests than they have slots for.
 */
class BrittleServerTests {

	private static final int HOSTS = 6;

	private static final int SERVERS = 3;

	private static final int SLOTS = 4;

	private static final int CLIENTS_PER_HOST = 5;

	private static final int BRITTLE = 4;

	private static final long WORK_MILLIS = 60;

	private static final long RUN_NANOS = 11_000_000_000L;

	/** From this long after they say so first, servers let none wait and may fall. */
	private static final long STABLE_NANOS = 3_000_000_000L;

	/** Time for which a server that has fallen over is away. */
	private static final long DOWN_NANOS = 2_000_000_000L;

	private final List<BrittleServer> servers = new ArrayList<>();

	private final List<LoopbackHost> hosts = new ArrayList<>();

	private SimulatedStore store;

	private long beganNanos;

	@BeforeEach
	void start() throws Exception {
		this.store = new SimulatedStore();
		this.store.put("op", "config",
				"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"localhost\",\"path_prefix\":\"/a/\","
						+ "\"kind\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":600,"
						+ "\"max_attempts\":3,\"service\":\"svc\"}],"
						+ "\"services\":[{\"name\":\"svc\",\"health_path\":\"/h\"}]}");
		for (int number = 1; number <= SERVERS; number++) {
			this.servers.add(new BrittleServer("i-" + number));
		}
		for (int number = 1; number <= HOSTS; number++) {
			this.hosts.add(LoopbackHost.start("h" + number, this.store));
		}
		Await.within(20_000, () -> this.hosts.stream().allMatch(LoopbackHost::ready));
	}

	@AfterEach
	void stop() {
		this.hosts.forEach((host) -> host.host().stop());
		this.servers.forEach((server) -> server.http.stop(0));
		this.store.close();
	}

	// Guards against brittle servers that fall over because hosts send them, each by
	// itself, more than they have room for, and send again what was turned away.
	@Test
	void brittleServersDoNotFallOver() throws Exception {
		List<Integer> statuses = Collections.synchronizedList(new ArrayList<>());
		this.beganNanos = System.nanoTime();
		List<Thread> clients = new ArrayList<>();
		for (LoopbackHost host : this.hosts) {
			for (int i = 0; i < CLIENTS_PER_HOST; i++) {
				Thread client = new Thread(() -> sendUntil(this.beganNanos + RUN_NANOS, host, statuses), "client");
				client.start();
				clients.add(client);
			}
		}
		for (Thread client : clients) {
			client.join();
		}
		int falls = this.servers.stream().mapToInt((server) -> server.falls.get()).sum();
		assertThat(falls).as("falls of %s servers", SERVERS).isLessThanOrEqualTo(2 + SERVERS / 10);
		double perSecond = SERVERS * SLOTS * 1000.0 / WORK_MILLIS;
		long served = statuses.stream().filter((status) -> status == 200).count();
		assertThat(served).as("requests served of those that the slots can take")
			.isGreaterThan((long) (0.6 * perSecond * RUN_NANOS / 1e9));
	}

	private static void sendUntil(long end, LoopbackHost host, List<Integer> statuses) {
		try {
			while (System.nanoTime() - end < 0) {
				int status = host.get("/a/x");
				statuses.add(status);
				Thread.sleep((status == 200) ? 1 : 100);
			}
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** A server with slots and no queue. */
	private final class BrittleServer {

		private final AtomicInteger running = new AtomicInteger();

		private final AtomicInteger falls = new AtomicInteger();

		private final Deque<Long> turnedAway = new ArrayDeque<>();

		private final HttpServer http;

		private volatile long downUntilNanos;

		private BrittleServer(String id) throws IOException {
			this.http = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
			this.http.setExecutor(Executors.newCachedThreadPool());
			this.http.createContext("/", this::serve);
			this.http.start();
			BrittleServerTests.this.store.put("servers", id,
					"{\"service\":\"svc\",\"address\":\"127.0.0.1:" + this.http.getAddress().getPort()
							+ "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" + SLOTS
							+ ",\"state\":\"ready\",\"born\":5}");
		}

		private void serve(HttpExchange exchange) throws IOException {
			if (this.downUntilNanos != 0 && System.nanoTime() - this.downUntilNanos < 0) {
				exchange.close();
				return;
			}
			exchange.getResponseHeaders().set("Server-Brittle", String.valueOf(BRITTLE));
			String id = exchange.getRequestHeaders().getFirst("X-Sequoialink-Request-Id");
			exchange.getResponseHeaders().set("X-Sequoialink-Request-Id", id);
			boolean strict = System.nanoTime() - BrittleServerTests.this.beganNanos > STABLE_NANOS;
			int room = strict ? SLOTS : 3 * SLOTS;
			if (this.running.incrementAndGet() > room) {
				this.running.decrementAndGet();
				exchange.getResponseHeaders().set("X-Sequoialink-Not-Executed", "1");
				exchange.sendResponseHeaders(503, -1);
				exchange.close();
				if (strict) {
					countTurnedAway();
				}
				return;
			}
			Await.sleep(WORK_MILLIS);
			exchange.getResponseHeaders().set("X-Sequoialink-Server-Seal", "s");
			this.running.decrementAndGet();
			exchange.sendResponseHeaders(200, -1);
			exchange.close();
		}

		private synchronized void countTurnedAway() {
			long now = System.nanoTime();
			this.turnedAway.addLast(now);
			this.turnedAway.removeIf((at) -> now - at > 1_000_000_000L);
			if (this.turnedAway.size() > BRITTLE) {
				this.turnedAway.clear();
				this.falls.incrementAndGet();
				this.downUntilNanos = now + DOWN_NANOS;
			}
		}

	}

}
