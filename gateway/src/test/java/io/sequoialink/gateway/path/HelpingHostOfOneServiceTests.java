package io.sequoialink.gateway.path;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import io.sequoialink.gateway.count.GatewayMetrics;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.relay.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A host that is cut off from two services, and the only other one, which reaches the
 * servers of one of them: over loopback, the other host scripted.
 */
class HelpingHostOfOneServiceTests {

	private static final int ROUNDS = 10;

	private final NioEventLoopGroup loop = new NioEventLoopGroup(1);

	private final ServicePaths paths = new ServicePaths(System::nanoTime);

	private ServerConnector connector;

	private void connectThrough(AnsweringHost other) {
		Peer self = new Peer("self", "z", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
		HelpingHosts hosts = new HelpingHosts(self, () -> List.of(other.peer()), System::nanoTime,
				new SplittableRandom(1));
		this.connector = new ServerConnector(this.loop, (address) -> address, this.paths, hosts,
				new OtherServers(new FleetView(), new SplittableRandom(2)), new GatewayMetrics().tunnels(),
				System::nanoTime);
	}

	@AfterEach
	void stop() throws Exception {
		this.loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
	}

	private static ServerEntry server(String service, int number) {
		return new ServerEntry(service + number, service, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
				"z", "v1", 1, false, 0, 0);
	}

	// Guards against a host that rejects requests of one service because the host that
	// could help is cut off from another service, or that service's servers are all down.
	@ParameterizedTest
	@EnumSource(value = TunnelAnswer.class, names = { "CUT_OFF", "UNDECIDED", "SILENT" })
	void aHostThatReachesOneServiceIsAskedForIt(TunnelAnswer ofTheOther) throws Exception {
		try (AnsweringHost other = new AnsweringHost("other",
				(target) -> target.contains("reached") ? TunnelAnswer.CONNECTED : ofTheOther)) {
			connectThrough(other);
			cutOffFrom("reached");
			cutOffFrom("lost");
			for (int i = 0; i < ROUNDS; i++) {
				assertThat(open(server("lost", 1))).isFalse();
				assertThat(open(server("reached", 1))).as("connection %s", i).isTrue();
			}
		}
	}

	private void cutOffFrom(String service) throws Exception {
		this.loop.submit(() -> {
			this.paths.failed(server(service, 1), true);
			this.paths.failed(server(service, 2), true);
		}).sync();
	}

	private boolean open(ServerEntry server) throws Exception {
		OneConnection attempt = new OneConnection();
		this.loop.submit(() -> this.connector.open(server, attempt)).sync();
		return attempt.opened();
	}

}
