package io.sequoialink.entry;

import java.net.InetSocketAddress;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class SocketAddressesTests {

	@Test
	void parsesIpAddressWithoutDnsLookup() {
		InetSocketAddress address = SocketAddresses.parse("10.1.0.255:8227").orElseThrow();
		assertThat(address.getAddress().getAddress()).containsExactly(10, 1, 0, -1);
		assertThat(address.getPort()).isEqualTo(8227);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "here", "localhost:80", "10.1.0.4", "10.1.0.4:", "10.1.0.4:0", "10.1.0.4:65536",
			"10.1.0:80", "10.1.0.256:80", "10.1.0.-1:80", "10.1.0.4.5:80", ":80" })
	void rejectsInvalidAddress(String text) {
		assertThat(SocketAddresses.parse(text)).isEmpty();
	}

}
