package io.sequoialink.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import com.sun.net.httpserver.HttpServer;
import io.sequoialink.soak.FreePorts;
import io.sequoialink.soak.StandinStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs two complete entry hosts on loopback with a backend server that announces in its
 * responses that it is leaving.
 */
class ServerSignalGossipTests {

	private static final long WITHIN_MILLIS = 8000;

	private final InetAddress loopback = InetAddress.getLoopbackAddress();

	private StandinStore store;

	private HttpServer backend;

	private Host contacted;

	private Host informed;

	@BeforeEach
	void start() throws Exception {
		this.store = new StandinStore();
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
		this.contacted = host("h1");
		this.informed = host("h2");
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

	private Host host(String name) throws Exception {
		int clients = FreePorts.tcp();
		int readiness = FreePorts.tcp();
		EntryHost host = new EntryHost(new EntrySettings(name, "a", new InetSocketAddress(this.loopback, clients),
				new InetSocketAddress(this.loopback, readiness), this.store.address(),
				Optional.of(new InetSocketAddress(this.loopback, FreePorts.udp())), 8000,
				new EntrySettings.Bounds(1000, 2000, 2000, 0.9, 10, 10_000, 0.15, 30, 5000)));
		host.start();
		return new Host(host, clients, readiness);
	}

	@Test
	void leavingSignalSentToOneHostReachesTheOther() throws Exception {
		within(() -> this.contacted.metrics().contains("sequoialink_ready 1.0"));
		assertThat(this.informed.metrics()).contains("sequoialink_servers_signalled 0.0");
		assertThat(this.contacted.get("/a/x")).isEqualTo(200);
		within(() -> this.informed.metrics().contains("sequoialink_servers_signalled 1.0"));
		assertThat(this.contacted.metrics()).contains("sequoialink_servers_leaving 1.0");
		assertThat(this.informed.metrics()).contains("sequoialink_servers_leaving 0.0");
		assertThat(this.contacted.get("/a/x")).isEqualTo(503);
		assertThat(this.informed.get("/a/x")).as("a signal passed on by another host excludes no server")
			.isEqualTo(200);
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

	/**
	 * A host and the ports on which it listens. Immutable.
	 */
	private record Host(EntryHost host, int clients, int readiness) {

		int get(String path) throws IOException {
			HttpURLConnection connection = (HttpURLConnection) URI.create("http://localhost:" + this.clients + path)
				.toURL()
				.openConnection();
			connection.setRequestProperty("X-Sequoialink-Request-Id", "r" + System.nanoTime());
			int status = connection.getResponseCode();
			connection.disconnect();
			return status;
		}

		String metrics() {
			try (InputStream in = URI.create("http://localhost:" + this.readiness + "/metrics").toURL().openStream()) {
				return new String(in.readAllBytes(), StandardCharsets.UTF_8);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
