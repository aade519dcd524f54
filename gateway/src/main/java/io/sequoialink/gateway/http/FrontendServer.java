package io.sequoialink.gateway.http;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.ReferenceCountUtil;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.ClientLimits;
import io.sequoialink.gateway.fleet.Configuration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts the connections of clients. Confined to the event loop, except for
 * {@link #start(EventLoopGroup, ServerSocketChannel)}.
 */
public final class FrontendServer {

	private static final Logger logger = LoggerFactory.getLogger(FrontendServer.class);

	private static final int SWEEP_MILLIS = 250;

	private static final int MIN_READ_BYTES = 512;

	private static final int INITIAL_READ_BYTES = 2048;

	/**
	 * Maximum size of one read, in bytes; a connection whose reading has stopped keeps
	 * one. Each connection reads once in its turn, because thousands of the smallest
	 * chunks take milliseconds.
	 */
	private static final int MAX_READ_BYTES = 16 << 10;

	private static final long LOG_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);

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

	private final int maxConnections;

	private long connectionsClosedForOthers;

	private long lastLogNanos = System.nanoTime() - LOG_PERIOD_NANOS;

	private Channel listening;

	private boolean draining;

	private long stopNanos;

	private boolean listens = true;

	/**
	 * Creates a server that is not listening yet.
	 * @param gateway state shared by all exchanges
	 */
	public FrontendServer(GatewayContext gateway) {
		this(gateway, ConnectionLimit.ofProcess());
	}

	/**
	 * Creates a server that is not listening yet.
	 * @param gateway state shared by all exchanges
	 * @param maxConnections maximum number of client connections
	 */
	FrontendServer(GatewayContext gateway, int maxConnections) {
		this.gateway = gateway;
		this.maxConnections = maxConnections;
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
			.childOption(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
						.maxMessagesPerRead(1))
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
				channel.pipeline()
					.addLast(new FlushConsolidationHandler(MAX_WRITES_PER_FLUSH, true),
							new ByteArrivalHandler(connection), connection.decoder(), new HttpResponseEncoder(),
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
		if (this.connections.size() >= this.maxConnections) {
			this.connectionsClosedForOthers++;
			logOccasionally();
			ClientConnection closed = replaceable().orElse(connection);
			closed(closed);
			closed.closeForOthers();
			if (closed == connection) {
				return;
			}
		}
		this.connections.add(connection);
	}

	// The oldest connection without a request, else one of which nothing more is
	// expected, else one whose request is still being received.
	private Optional<ClientConnection> replaceable() {
		return oldest(ClientConnection::idle).or(() -> oldest(ClientConnection::lingers))
			.or(() -> oldest(ClientConnection::receiving));
	}

	private Optional<ClientConnection> oldest(Predicate<ClientConnection> kind) {
		return this.connections.stream().filter(kind).findFirst();
	}

	private void logOccasionally() {
		long now = System.nanoTime();
		if (now - this.lastLogNanos >= LOG_PERIOD_NANOS) {
			this.lastLogNanos = now;
			logger.warn(GatewayEvents.TOO_MANY_CLIENTS, this.maxConnections, this.connectionsClosedForOthers);
		}
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
	 * Returns the maximum number of client connections.
	 * @return connections
	 */
	public int maxConnections() {
		return this.maxConnections;
	}

	/**
	 * Returns the number of connections that were closed because there were too many.
	 * @return connections since the start
	 */
	public long connectionsClosedForOthers() {
		return this.connectionsClosedForOthers;
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
	 * complete heads only, so a slowly sent head would go unnoticed. Discards what comes
	 * after the last response.
	 */
	private static final class ByteArrivalHandler extends ChannelInboundHandlerAdapter {

		private final ClientConnection connection;

		private ByteArrivalHandler(ClientConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (this.connection.bytesArrived()) {
				context.fireChannelRead(message);
				return;
			}
			ReferenceCountUtil.release(message);
		}

	}

}
