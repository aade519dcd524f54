package io.sequoialink.soak;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FreePortsTests {

	// A soak run failed to start: an outgoing connection had been assigned the port of a
	// host before the host listened on it.
	@Test
	void portsAreFreeDistinctAndBelowEphemeralRange() throws Exception {
		Set<Integer> seen = new HashSet<>();
		for (int i = 0; i < 200; i++) {
			int tcp = FreePorts.tcp();
			int udp = FreePorts.udp();
			assertThat(tcp).isBetween(1024, 32_767);
			assertThat(udp).isBetween(1024, 32_767);
			assertThat(seen.add(tcp)).isTrue();
			assertThat(seen.add(udp)).isTrue();
			new ServerSocket(tcp, 1, InetAddress.getLoopbackAddress()).close();
			new DatagramSocket(udp, InetAddress.getLoopbackAddress()).close();
		}
	}

}
