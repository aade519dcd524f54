package io.sequoialink.gateway.http;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.sequoialink.gateway.fleet.ClientLimits;
import io.sequoialink.gateway.fleet.Configuration;

/**
 * Accepts clients' connections. Confined to the event loop, but for
 * {@link #start(EventLoopGroup, ServerSocketChannel)}.
 */
public final class FrontServer {

	private static final int SWEEP_MILLIS = 250;

	private static final int MAX_CHUNK_BYTES = 65536;

	private final Gateway gateway;

	private final Set<ClientConnection> connections = new LinkedHashSet<>();

	private Channel listening;

	private boolean draining;

	/**
	 * Creates a server that does not listen yet.
	 * @param gateway what its exchanges share
	 */
	public FrontServer(Gateway gateway) {
		this.gateway = gateway;
	}

	/**
	 * Accepts clients, also those that connected before.
	 * @param loop the event loop
	 * @param socket where clients connect; from now on this server's
	 * @throws InterruptedException if interrupted before clients are accepted
	 */
	public void start(EventLoopGroup loop, ServerSocketChannel socket) throws InterruptedException {
		this.listening = new ServerBootstrap().group(loop)
			.channelFactory(() -> new NioServerSocketChannel(socket))
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer())
			.register()
			.sync()
			.channel();
		loop.next().scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	private ChannelInitializer<Channel> initializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				ClientConnection connection = new ClientConnection(FrontServer.this.gateway, FrontServer.this);
				int headerBytes = limits().headerBytes();
				channel.pipeline()
					.addLast(new ArrivalTap(connection), new Decoder(headerBytes), new HttpResponseEncoder(),
							connection);
			}
		};
	}

	/**
	 * Returns what clients may send now.
	 * @return the limits of the configuration, or initial ones
	 */
	ClientLimits limits() {
		return this.gateway.view().configuration().map(Configuration::limits).orElse(ClientLimits.INITIAL);
	}

	private void sweep() {
		long now = System.nanoTime();
		for (ClientConnection connection : List.copyOf(this.connections)) {
			connection.sweep(now);
		}
		this.gateway.pool().sweep(this.gateway.view());
		this.gateway.servers().prune();
	}

	void opened(ClientConnection connection) {
		this.connections.add(connection);
	}

	void closed(ClientConnection connection) {
		this.connections.remove(connection);
	}

	/**
	 * Asks clients to use other hosts from their next request on.
	 */
	public void drain() {
		this.draining = true;
	}

	boolean draining() {
		return this.draining;
	}

	/**
	 * Accepts no more connections and closes those without a request.
	 */
	public void stopListening() {
		this.listening.close();
		List.copyOf(this.connections).forEach(ClientConnection::closeIfIdle);
	}

	/**
	 * Returns the port on which clients are accepted.
	 * @return the port
	 */
	int port() {
		return ((InetSocketAddress) this.listening.localAddress()).getPort();
	}

	/**
	 * Returns the number of open connections.
	 * @return open connections of clients
	 */
	public int connections() {
		return this.connections.size();
	}

	/**
	 * Returns the number of requests that wait for their answer.
	 * @return requests under way
	 */
	public int underWay() {
		int busy = 0;
		for (ClientConnection connection : this.connections) {
			busy += connection.busy() ? 1 : 0;
		}
		return busy;
	}

	/**
	 * Notes the arrival of bytes ahead of the decoder, which reports whole heads only.
	 */
	private static final class ArrivalTap extends ChannelInboundHandlerAdapter {

		private final ClientConnection connection;

		private ArrivalTap(ClientConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.connection.bytesArrived();
			context.fireChannelRead(message);
		}

	}

	/**
	 * Decoder that refuses a message with two statements of its length, since another
	 * server might read the other one.
	 */
	private static final class Decoder extends HttpRequestDecoder {

		private Decoder(int headerBytes) {
			super(headerBytes, headerBytes, MAX_CHUNK_BYTES);
		}

		@Override
		protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
			throw new IllegalArgumentException("both a length and chunks");
		}

	}

}
