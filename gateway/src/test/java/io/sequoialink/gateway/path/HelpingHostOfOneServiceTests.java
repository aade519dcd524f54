package io.sequoialink.gateway.path;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.NioEventLoopGroup;
import io.sequoialink.gateway.count.GatewayMetrics;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.relay.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
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

	private final List<Socket> open = new CopyOnWriteArrayList<>();

	private ServerSocket listening;

	private ServerConnector connector;

	@BeforeEach
	void start() throws IOException {
		InetAddress loopback = InetAddress.getLoopbackAddress();
		this.listening = new ServerSocket(0, 10, loopback);
		Peer other = new Peer("other", "z", new InetSocketAddress(loopback, this.listening.getLocalPort()));
		Peer self = new Peer("self", "z", new InetSocketAddress(loopback, 1));
		HelpingHosts hosts = new HelpingHosts(self, () -> List.of(other), System::nanoTime, new SplittableRandom(1));
		this.connector = new ServerConnector(this.loop, (address) -> address, this.paths, hosts,
				new OtherServers(new FleetView(), new SplittableRandom(2)), new GatewayMetrics().tunnels(),
				System::nanoTime);
	}

	@AfterEach
	void stop() throws Exception {
		this.listening.close();
		for (Socket socket : this.open) {
			socket.close();
		}
		this.loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
	}

	private static ServerEntry server(String service, int number) {
		return new ServerEntry(service + number, service, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
				"z", "v1", 1, false, 0, 0);
	}

	private void serve(String reachedService, TunnelAnswer otherwise) {
		while (!this.listening.isClosed()) {
			try {
				Socket socket = this.listening.accept();
				this.open.add(socket);
				DataInputStream in = new DataInputStream(socket.getInputStream());
				in.readByte();
				String target = new String(in.readNBytes(in.readInt()), StandardCharsets.US_ASCII);
				TunnelAnswer answer = target.contains(reachedService) ? TunnelAnswer.CONNECTED : otherwise;
				socket.getOutputStream().write(new byte[] { 1, 0, 0, 0, 1, answer.code() });
			}
			catch (IOException ex) {
				// the test has ended
			}
		}
	}

	// Guards against a host that rejects requests of one service because the host that
	// could help is cut off from another service, or that service's servers are all down.
	@ParameterizedTest
	@EnumSource(value = TunnelAnswer.class, names = { "CUT_OFF", "UNDECIDED", "SILENT" })
	void aHostThatReachesOneServiceIsAskedForIt(TunnelAnswer ofTheOther) throws Exception {
		Thread serving = new Thread(() -> serve("reached", ofTheOther));
		serving.setDaemon(true);
		serving.start();
		cutOffFrom("reached");
		cutOffFrom("lost");
		for (int i = 0; i < ROUNDS; i++) {
			assertThat(open(server("lost", 1))).isFalse();
			assertThat(open(server("reached", 1))).as("connection %s", i).isTrue();
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
		return attempt.opened.get(5, TimeUnit.SECONDS);
	}

	/** Completes with whether the connection was opened. */
	private static final class OneConnection implements ConnectionAttempt {

		private final CompletableFuture<Boolean> opened = new CompletableFuture<>();

		@Override
		public boolean cancelled() {
			return false;
		}

		@Override
		public ChannelHandler newHandlers() {
			return new ChannelInboundHandlerAdapter();
		}

		@Override
		public void connecting(Channel channel) {
			// not cancelled
		}

		@Override
		public void opened(boolean direct) {
			this.opened.complete(true);
		}

		@Override
		public void failed(Throwable cause) {
			this.opened.complete(false);
		}

	}

}
