package io.sequoialink.gateway.path;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.nio.NioEventLoopGroup;
import io.sequoialink.gateway.count.GatewayMetrics;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.http.SilentAddress;
import io.sequoialink.gateway.place.EvacuatedZones;
import io.sequoialink.gateway.relay.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Two hosts, both cut off from all servers of a service so that connects hang, over
 * loopback.
 */
class CutOffHelperTests {

	private static final int QUESTIONS = 30;

	private static final int PAUSE_MILLIS = 50;

	/** Well below the 300 ms after which a host counts as silent. */
	private static final long PROMPT_MILLIS = 150;

	private final NioEventLoopGroup loop = new NioEventLoopGroup(1);

	private final SilentAddress silent = new SilentAddress();

	private final FleetView view = new FleetView();

	CutOffHelperTests() throws Exception {
	}

	@AfterEach
	void stop() throws Exception {
		this.silent.close();
		this.loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
	}

	private static ServerEntry server(String id) {
		return new ServerEntry(id, "svc", new InetSocketAddress(1), "z", "v1", 1, false, 0, 0);
	}

	private ServerConnector cutOff(Supplier<List<Peer>> others) throws Exception {
		ServicePaths paths = new ServicePaths(System::nanoTime);
		this.loop.submit(() -> {
			paths.failed(server("i-1"), true);
			paths.failed(server("i-2"), true);
		}).sync();
		Peer self = new Peer("self", "z", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
		HelpingHosts hosts = new HelpingHosts(self, others, System::nanoTime, new SplittableRandom(1));
		return new ServerConnector(this.loop, (address) -> this.silent.address(), paths, hosts,
				new OtherServers(this.view, new SplittableRandom(2)), new GatewayMetrics().tunnels(), System::nanoTime);
	}

	// Guards against hosts that hold requests which nobody can serve: a host that is cut
	// off itself tried its own path first, which took longer than the other waits.
	@Test
	void aHostThatIsCutOffSaysSoAtOnce() throws Exception {
		this.view.put(server("i-1"));
		InetSocketAddress address;
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
		}
		TunnelServer helping = new TunnelServer(cutOff(List::of), this.view, new EvacuatedZones(), (from) -> true);
		helping.start(this.loop, address);
		this.loop.submit(() -> {
			// the host listens once the loop has run this
		}).sync();
		assertPromptRejections(cutOff(() -> List.of(new Peer("other", "z", address))));
	}

	// Guards against hosts that hold one request in 500 ms, which nobody can serve, to
	// find out whether their path is whole again.
	@Test
	void aHostWithoutAnyPathRejectsAtOnce() throws Exception {
		InetSocketAddress gone = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
		assertPromptRejections(cutOff(() -> List.of(new Peer("gone", "z", gone))));
	}

	private void assertPromptRejections(ServerConnector connector) throws Exception {
		for (int i = 0; i < QUESTIONS; i++) {
			long began = System.nanoTime();
			OneConnection attempt = new OneConnection();
			this.loop.submit(() -> connector.open(server("i-1"), attempt)).sync();
			assertThat(attempt.opened()).isFalse();
			assertThat((System.nanoTime() - began) / 1_000_000).as("question %s", i).isLessThan(PROMPT_MILLIS);
			Thread.sleep(PAUSE_MILLIS);
		}
	}

}
