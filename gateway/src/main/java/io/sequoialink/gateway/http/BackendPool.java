package io.sequoialink.gateway.http;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import jdk.net.ExtendedSocketOptions;

/**
 * Connections of this host to all backend servers. Confined to the event loop.
 */
public final class BackendPool {

	/** Longest time to open a connection, in milliseconds. */
	private static final int CONNECT_MILLIS = 500;

	private final Bootstrap bootstrap;

	private final WireDialect dialect;

	private final Map<String, ServerConnections> servers = new HashMap<>();

	/**
	 * Creates a pool.
	 * @param loop the event loop
	 * @param dialect names of headers
	 */
	public BackendPool(EventLoopGroup loop, WireDialect dialect) {
		this.dialect = dialect;
		this.bootstrap = outgoing(loop, CONNECT_MILLIS);
	}

	/**
	 * Returns a bootstrap for connections that notice a peer which has fallen silent.
	 * @param loop the event loop
	 * @param connectMillis longest time to open a connection
	 * @return a new bootstrap without handler
	 */
	public static Bootstrap outgoing(EventLoopGroup loop, int connectMillis) {
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
	 * @param send the request
	 * @param onlyNew whether only a new connection will do
	 */
	void send(ServerEntry server, BackendSend send, boolean onlyNew) {
		connections(server).send(send, onlyNew);
	}

	/**
	 * Finds out whether a server takes no connections at all, as after a crash.
	 * @param server the server
	 * @param found takes why a new connection failed, empty if it stood
	 */
	void probe(ServerEntry server, Consumer<Optional<Throwable>> found) {
		connections(server).probe(found);
	}

	private ServerConnections connections(ServerEntry server) {
		String key = server.id() + '@' + server.bornMillis();
		return this.servers.computeIfAbsent(key,
				(id) -> new ServerConnections(server.address(), this.bootstrap, this.dialect));
	}

	/**
	 * Closes connections that rested too long, and those to servers that are gone.
	 * @param view what the host believes about the fleet
	 */
	public void sweep(FleetView view) {
		Iterator<Map.Entry<String, ServerConnections>> all = this.servers.entrySet().iterator();
		while (all.hasNext()) {
			Map.Entry<String, ServerConnections> entry = all.next();
			entry.getValue().closeIdle();
			if (gone(view, entry.getKey())) {
				entry.getValue().shutdown();
				all.remove();
			}
		}
	}

	private static boolean gone(FleetView view, String key) {
		int at = key.lastIndexOf('@');
		long born = Long.parseLong(key.substring(at + 1));
		return view.server(key.substring(0, at)).filter((entry) -> entry.bornMillis() == born).isEmpty();
	}

}
