package io.sequoialink.soak;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServerPathsTests {

	private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

	// Guards against a stand-in that leaves hosts cut off after a cut, because the port
	// of
	// one server, which has ended, is taken (soak seed 4003, "could not cut ... off").
	@ParameterizedTest
	@ValueSource(ints = { 0, 1 })
	void aPathThatCanNotBeRestoredDoesNotKeepTheOthersCut(int taken) throws Exception {
		InetAddress local = InetAddress.getByName("127.0.0.9");
		try (ServerSocket first = new ServerSocket(0, 5, LOOPBACK);
				ServerSocket second = new ServerSocket(0, 5, LOOPBACK);
				ServerPaths paths = new ServerPaths(local)) {
			List<InetSocketAddress> proxies = List.of(paths.address(address(first)), paths.address(address(second)));
			paths.setCut(ServerPaths.Cut.RESET);
			try (ServerSocket other = new ServerSocket(proxies.get(taken).getPort(), 1, local)) {
				paths.setCut(ServerPaths.Cut.NONE);
				try (Socket client = new Socket()) {
					client.connect(proxies.get(1 - taken), 2000);
					assertThat(client.isConnected()).isTrue();
				}
				assertThat(other.isBound()).isTrue();
			}
		}
	}

	private static InetSocketAddress address(ServerSocket server) {
		return new InetSocketAddress(LOOPBACK, server.getLocalPort());
	}

}
