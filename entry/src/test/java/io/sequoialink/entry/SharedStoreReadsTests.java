package io.sequoialink.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.sequoialink.soak.FreePorts;
import io.sequoialink.soak.SimulatedStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs two complete entry hosts on loopback with one simulated store; one host reads the
 * store and sends what it read to the other. Time limits are twice those set by the
 * platform, to allow for a busy machine.
 */
class SharedStoreReadsTests {

	private static final long APPLY_MILLIS = 4000;

	private final InetAddress loopback = InetAddress.getLoopbackAddress();

	private SimulatedStore store;

	private EntryHost reader;

	private EntryHost follower;

	private int readiness;

	@BeforeEach
	void start() throws Exception {
		this.store = new SimulatedStore();
		configure(1);
		this.reader = host("h1");
		this.follower = host("h2");
		Await.within(APPLY_MILLIS,
				() -> metrics().contains("sequoialink_told_reads_total{outcome=\"followed\",topic=\"op\"}"));
	}

	@AfterEach
	void stop() {
		this.reader.stop();
		this.follower.stop();
		this.store.close();
	}

	private EntryHost host(String name) throws Exception {
		return host(name, FreePorts.udp());
	}

	private EntryHost host(String name, int datagrams) throws Exception {
		this.readiness = FreePorts.tcp();
		EntryHost host = new EntryHost(
				new EntrySettings(name, "a", new InetSocketAddress(this.loopback, FreePorts.tcp()),
						new InetSocketAddress(this.loopback, this.readiness), this.store.address(),
						Optional.of(new InetSocketAddress(this.loopback, datagrams)), 8000,
						new EntrySettings.Bounds(1000, 2000, 2000, 0.9, 10, 10_000, 0.15, 30, 5000)));
		host.start();
		return host;
	}

	private void configure(int version) {
		this.store.put("op", "config", "{\"version\":" + version + ",\"routes\":[],\"services\":[]}");
	}

	@Test
	void hostAppliesConfigurationsReadByAnotherHostInTime() {
		for (int version = 2; version < 6; version++) {
			String wanted = "sequoialink_configuration_version " + version + ".0";
			configure(version);
			Await.within(APPLY_MILLIS, () -> metrics().contains(wanted));
		}
	}

	@Test
	void hostReadsTheStoreItselfAfterTheReaderStops() {
		this.reader.stop();
		configure(2);
		Await.within(APPLY_MILLIS, () -> metrics().contains("sequoialink_configuration_version 2.0"));
	}

	@Test
	void hostThatCannotBindItsDatagramPortReadsTheStoreItself() throws Exception {
		try (DatagramSocket used = new DatagramSocket(0, this.loopback)) {
			EntryHost alone = host("h3", used.getLocalPort());
			configure(2);
			Await.within(APPLY_MILLIS, () -> metrics().contains("sequoialink_configuration_version 2.0"));
			assertThat(metrics()).doesNotContain("sequoialink_told_reads_total{");
			alone.stop();
		}
	}

	private String metrics() {
		try (InputStream in = URI.create("http://localhost:" + this.readiness + "/metrics").toURL().openStream()) {
			return new String(in.readAllBytes(), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
