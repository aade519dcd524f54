package io.sequoialink.gateway.http;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import jdk.net.ExtendedSocketOptions;

/**
 * Connections from this host to all backend servers. Confined to the event loop.
 */
public final class BackendPool {

	/** Connect timeout in milliseconds. */
	private static final int CONNECT_MILLIS = 500;

	private final Bootstrap bootstrap;

	private final HeaderMapping dialect;

	private final UnaryOperator<InetSocketAddress> addresses;

	private final Map<String, ServerConnections> servers = new HashMap<>();

	/**
	 * Creates a pool.
	 * @param loop the event loop
	 * @param dialect reads and writes metadata in the headers
	 */
	public BackendPool(EventLoopGroup loop, HeaderMapping dialect) {
		this(loop, dialect, UnaryOperator.identity());
	}

	/**
	 * Creates a pool that reaches servers by other addresses than the registered ones, as
	 * behind an address translation.
	 * @param loop the event loop
	 * @param dialect reads and writes metadata in the headers
	 * @param addresses returns the address to connect to for a registered one
	 */
	public BackendPool(EventLoopGroup loop, HeaderMapping dialect, UnaryOperator<InetSocketAddress> addresses) {
		this.dialect = dialect;
		this.addresses = addresses;
		this.bootstrap = newBootstrap(loop, CONNECT_MILLIS);
	}

	/**
	 * Returns a bootstrap whose connections use TCP keep-alive probes. They detect within
	 * a few seconds, on an idle connection, that the peer's machine has failed or become
	 * unreachable; they do not detect a hung process, for which the operating system
	 * still acknowledges the probes.
	 * @param loop the event loop
	 * @param connectMillis connect timeout in milliseconds
	 * @return a new bootstrap without a handler
	 */
	public static Bootstrap newBootstrap(EventLoopGroup loop, int connectMillis) {
		return new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), 1)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), 2);
	}

	/**
	 * Sends a request to a server.
	 * @param server the server
	 * @param outbound the request
	 * @param onlyNew whether the request must be sent on a new connection
	 */
	void send(ServerEntry server, OutboundRequest outbound, boolean onlyNew) {
		connections(server).send(outbound, onlyNew);
	}

	/**
	 * Checks whether a server refuses all connections, as it does after a crash, by
	 * opening a new one.
	 * @param server the server
	 * @param callback receives the connection error, or empty if the connection succeeded
	 */
	void probe(ServerEntry server, Consumer<Optional<Throwable>> callback) {
		connections(server).probe(callback);
	}

	private ServerConnections connections(ServerEntry server) {
		String key = server.id() + '@' + server.startMillis();
		return this.servers.computeIfAbsent(key,
				(id) -> new ServerConnections(this.addresses.apply(server.address()), this.bootstrap, this.dialect));
	}

	/**
	 * Closes connections that have been idle for too long, and the connections to servers
	 * that are no longer registered.
	 * @param view backend servers known to this host
	 */
	public void sweep(FleetView view) {
		Iterator<Map.Entry<String, ServerConnections>> all = this.servers.entrySet().iterator();
		while (all.hasNext()) {
			Map.Entry<String, ServerConnections> entry = all.next();
			entry.getValue().closeIdle();
			if (unregistered(view, entry.getKey())) {
				entry.getValue().shutdown();
				all.remove();
			}
		}
	}

	private static boolean unregistered(FleetView view, String key) {
		int at = key.lastIndexOf('@');
		long startMillis = Long.parseLong(key.substring(at + 1));
		return view.server(key.substring(0, at)).filter((entry) -> entry.startMillis() == startMillis).isEmpty();
	}

}
