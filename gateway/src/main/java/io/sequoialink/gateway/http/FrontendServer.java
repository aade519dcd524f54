package io.sequoialink.gateway.http;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalDouble;
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
import io.netty.handler.flush.FlushConsolidationHandler;
import io.sequoialink.gateway.fleet.ClientLimits;
import io.sequoialink.gateway.fleet.Configuration;

/**
 * Accepts the connections of clients. Confined to the event loop, except for
 * {@link #start(EventLoopGroup, ServerSocketChannel)}.
 */
public final class FrontendServer {

	private static final int SWEEP_MILLIS = 250;

	private static final int MAX_CHUNK_BYTES = 65536;

	/**
	 * A draining host takes a request only if at least this many times its usual duration
	 * are left.
	 */
	private static final double USUAL_DURATIONS_LEFT = 3;

	/**
	 * Number of parts of a response that may wait to be written together within one turn
	 * of the event loop: a system call for each of many small events takes most of it.
	 */
	private static final int MAX_WRITES_PER_FLUSH = 256;

	private final GatewayContext gateway;

	private final Set<ClientConnection> connections = new LinkedHashSet<>();

	private Channel listening;

	private boolean draining;

	private long stopNanos;

	private boolean listens = true;

	/**
	 * Creates a server that is not listening yet.
	 * @param gateway state shared by all exchanges
	 */
	public FrontendServer(GatewayContext gateway) {
		this.gateway = gateway;
	}

	/**
	 * Starts accepting clients, including those already waiting in the socket's backlog.
	 * @param loop the event loop
	 * @param socket listening socket; ownership passes to this server
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
		loop.next().scheduleAtFixedRate(this::closeTimedOut, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	private ChannelInitializer<Channel> initializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				ClientConnection connection = new ClientConnection(FrontendServer.this.gateway, FrontendServer.this);
				int headerBytes = limits().headerBytes();
				channel.pipeline()
					.addLast(new FlushConsolidationHandler(MAX_WRITES_PER_FLUSH, true),
							new ByteArrivalHandler(connection), new Decoder(headerBytes), new HttpResponseEncoder(),
							connection);
			}
		};
	}

	/**
	 * Returns the size and time limits that apply to clients now.
	 * @return the limits of the configuration, or the initial ones before it has been
	 * read
	 */
	ClientLimits limits() {
		return this.gateway.view().configuration().map(Configuration::limits).orElse(ClientLimits.INITIAL);
	}

	private void closeTimedOut() {
		long now = System.nanoTime();
		for (ClientConnection connection : List.copyOf(this.connections)) {
			connection.closeIfTimedOut(now);
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
	 * Closes each connection after its current or next response, so that clients
	 * reconnect to other hosts.
	 * @param stopMillis time until {@link #endRequests()} is called, in milliseconds
	 */
	public void drain(long stopMillis) {
		this.draining = true;
		this.stopNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(stopMillis);
	}

	/**
	 * Returns whether the host will probably stop before a new request has ended.
	 * @param usualMillis usual duration of such requests in milliseconds, if known
	 * @return whether the request should be sent to another host
	 */
	boolean stopsBefore(OptionalDouble usualMillis) {
		if (!this.draining) {
			return false;
		}
		double left = (this.stopNanos - System.nanoTime()) / 1e6;
		return !this.listens || USUAL_DURATIONS_LEFT * usualMillis.orElse(0) > left;
	}

	/**
	 * Ends all requests that are under way with the responses that their state permits,
	 * before the process ends.
	 */
	public void endRequests() {
		List.copyOf(this.connections).forEach(ClientConnection::endRequest);
	}

	boolean draining() {
		return this.draining;
	}

	/**
	 * Stops accepting connections and closes those on which no request is being received
	 * or processed.
	 */
	public void stopListening() {
		this.listens = false;
		this.listening.close();
		List.copyOf(this.connections).forEach(ClientConnection::closeIfIdle);
	}

	/**
	 * Returns the port on which clients connect.
	 * @return the port
	 */
	int port() {
		return ((InetSocketAddress) this.listening.localAddress()).getPort();
	}

	/**
	 * Returns the number of open client connections.
	 * @return open connections
	 */
	public int connections() {
		return this.connections.size();
	}

	/**
	 * Returns the number of requests that have not been answered completely.
	 * @return requests being processed
	 */
	public int activeRequests() {
		int busy = 0;
		for (ClientConnection connection : this.connections) {
			busy += connection.busy() ? 1 : 0;
		}
		return busy;
	}

	/**
	 * Notifies the connection of bytes before they are decoded; the decoder reports
	 * complete heads only, so a slowly sent head would go unnoticed.
	 */
	private static final class ByteArrivalHandler extends ChannelInboundHandlerAdapter {

		private final ClientConnection connection;

		private ByteArrivalHandler(ClientConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.connection.bytesArrived();
			context.fireChannelRead(message);
		}

	}

	/**
	 * Decoder that rejects messages with both a Content-Length and chunked encoding.
	 * Another server could interpret the length differently (request smuggling).
	 */
	private static final class Decoder extends HttpRequestDecoder {

		private Decoder(int headerBytes) {
			super(headerBytes, headerBytes, MAX_CHUNK_BYTES);
		}

		@Override
		protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
			throw new IllegalArgumentException("message has both Content-Length and chunked Transfer-Encoding");
		}

	}

}
