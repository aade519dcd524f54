package io.sequoialink.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

import com.sun.net.httpserver.HttpServer;
import io.sequoialink.soak.SimulatedStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs two complete entry hosts on loopback with a backend server that announces in its
 * responses that it is shutting down.
 */
class ServerNoticePropagationTests {

	private static final long WITHIN_MILLIS = 8000;

	private final InetAddress loopback = InetAddress.getLoopbackAddress();

	private SimulatedStore store;

	private HttpServer backend;

	private LoopbackHost contacted;

	private LoopbackHost informed;

	@BeforeEach
	void start() throws Exception {
		this.store = new SimulatedStore();
		this.backend = HttpServer.create(new InetSocketAddress(this.loopback, 0), 50);
		this.backend.createContext("/", (exchange) -> {
			exchange.getResponseHeaders().set("X-Sequoialink-Server-Seal", "s");
			exchange.getResponseHeaders().set("Server-Leaving", "1");
			String id = exchange.getRequestHeaders().getFirst("X-Sequoialink-Request-Id");
			exchange.getResponseHeaders().set("X-Sequoialink-Request-Id", id);
			exchange.sendResponseHeaders(200, -1);
			exchange.close();
		});
		this.backend.start();
		this.store.put("op", "config",
				"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"localhost\",\"path_prefix\":\"/a/\","
						+ "\"kind\":\"idempotent\",\"timeout_ms\":2000,\"max_attempts\":1,\"service\":\"svc\"}],"
						+ "\"services\":[{\"name\":\"svc\",\"health_path\":\"/h\"}]}");
		this.store.put("servers", "i-1",
				"{\"service\":\"svc\",\"address\":\"127.0.0.1:" + this.backend.getAddress().getPort()
						+ "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"born\":5}");
		this.contacted = LoopbackHost.start("h1", this.store);
		this.informed = LoopbackHost.start("h2", this.store);
		within(() -> this.informed.metrics()
			.contains("sequoialink_told_reads_total{outcome=\"followed\",topic=\"op\"}"));
	}

	@AfterEach
	void stop() {
		this.contacted.host().stop();
		this.informed.host().stop();
		this.backend.stop(0);
		this.store.close();
	}

	@Test
	void shutdownNoticeSentToOneHostReachesTheOther() throws Exception {
		within(this.contacted::ready);
		assertThat(this.informed.metrics()).contains("sequoialink_servers_signalled 0.0");
		assertThat(this.contacted.get("/a/x")).isEqualTo(200);
		within(() -> this.informed.metrics().contains("sequoialink_servers_signalled 1.0"));
		assertThat(this.contacted.metrics()).contains("sequoialink_servers_leaving 1.0");
		assertThat(this.informed.metrics()).contains("sequoialink_servers_leaving 0.0");
		assertThat(this.contacted.get("/a/x")).isEqualTo(503);
		assertThat(this.informed.get("/a/x")).as("a notice gossiped by another host excludes no server").isEqualTo(200);
	}

	private static void within(BooleanSupplier condition) {
		long deadline = System.nanoTime() + WITHIN_MILLIS * 1_000_000L;
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("time allowed: %s ms", WITHIN_MILLIS).isLessThan(deadline);
			try {
				Thread.sleep(50);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException(ex);
			}
		}
	}

}
