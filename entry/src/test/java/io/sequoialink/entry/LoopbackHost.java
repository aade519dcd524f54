package io.sequoialink.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

import io.sequoialink.soak.FreePorts;
import io.sequoialink.soak.SimulatedStore;

/**
 * A complete entry host on loopback and the ports on which it listens. Immutable.
 *
 * @param host the host
 * @param clients port for clients
 * @param readiness port of the readiness check and the metrics page
 * @param datagrams port for datagrams of other hosts
 */
record LoopbackHost(EntryHost host, int clients, int readiness, int datagrams) {

	private static final AtomicLong LAST_REQUEST = new AtomicLong(System.nanoTime());

	static LoopbackHost start(String name, SimulatedStore store) throws Exception {
		return start(name, store, UnaryOperator.identity());
	}

	/**
	 * Starts a host that reaches backend servers by other addresses than the registered
	 * ones.
	 */
	static LoopbackHost start(String name, SimulatedStore store, UnaryOperator<InetSocketAddress> serverAddresses)
			throws Exception {
		InetAddress loopback = InetAddress.getLoopbackAddress();
		int clients = FreePorts.tcp();
		int readiness = FreePorts.tcp();
		int datagrams = FreePorts.udp();
		EntryHost host = new EntryHost(new EntrySettings(name, "a", new InetSocketAddress(loopback, clients),
				new InetSocketAddress(loopback, readiness), store.address(),
				Optional.of(new InetSocketAddress(loopback, datagrams)), 8000,
				new EntrySettings.Bounds(1000, 2000, 2000, 0.9, 10, 10_000, 0.15, 30, 5000)), serverAddresses);
		host.start();
		return new LoopbackHost(host, clients, readiness, datagrams);
	}

	int get(String path) throws IOException {
		return get(path, Map.of());
	}

	/**
	 * Sends a request and reads the whole response.
	 */
	int get(String path, Map<String, String> headers) throws IOException {
		HttpURLConnection connection = (HttpURLConnection) URI.create("http://localhost:" + this.clients + path)
			.toURL()
			.openConnection();
		connection.setRequestProperty("X-Sequoialink-Request-Id", "r" + LAST_REQUEST.incrementAndGet());
		headers.forEach(connection::setRequestProperty);
		int status = connection.getResponseCode();
		if (status == 200) {
			connection.getInputStream().readAllBytes();
		}
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

	boolean ready() {
		return metrics().contains("sequoialink_ready 1.0");
	}

}
