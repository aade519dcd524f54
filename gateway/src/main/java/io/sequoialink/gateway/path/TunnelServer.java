package io.sequoialink.gateway.path;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.place.EvacuatedZones;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Opens connections to backend servers for hosts that do not reach them, and passes the
 * bytes in both directions. Confined to the event loop, except
 * {@link #start(EventLoopGroup, InetSocketAddress)}.
 *
 * <p>
 * Invariants: only known hosts are helped, and only to reach servers that are registered
 * with this host, not draining and in no evacuated zone; once a zone is evacuated, no
 * further request passes on a connection to one of its servers that is open. Connections
 * are opened directly only, never through a third host. Their number is bounded, and a
 * side that does not read stops the other, so that the memory they take is bounded too.
 */
public final class TunnelServer {

	private static final Logger logger = LoggerFactory.getLogger(TunnelServer.class);

	/**
	 * Connections for other hosts at a time, as many as a few hosts need. If most of a
	 * zone is cut off, those that are not would otherwise carry the whole zone; beyond
	 * this, hosts of other zones are asked.
	 */
	static final int MAX_CONNECTIONS = 64;

	/** Bytes waiting for a side that does not read, from which the other is stopped. */
	static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 << 10, 32 << 10);

	private final ServerConnector connector;

	private final FleetView view;

	private final EvacuatedZones evacuated;

	private final Predicate<InetAddress> knownHost;

	private final Set<TunnelServerHandler> open = new HashSet<>();

	private boolean draining;

	/**
	 * Creates a server that is not listening yet.
	 * @param connector opens the connections
	 * @param view servers known to this host
	 * @param evacuated zones whose servers get no requests
	 * @param knownHost returns whether an address belongs to a known host
	 */
	public TunnelServer(ServerConnector connector, FleetView view, EvacuatedZones evacuated,
			Predicate<InetAddress> knownHost) {
		this.connector = connector;
		this.view = view;
		this.evacuated = evacuated;
		this.knownHost = knownHost;
	}

	/**
	 * Starts listening. If that fails, this host helps no others.
	 * @param loop the event loop
	 * @param address address at which other hosts connect
	 */
	public void start(EventLoopGroup loop, InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(TunnelFrames.decoder(), new TunnelServerHandler(TunnelServer.this));
				}
			});
		KeepAlive.OPTIONS.forEach((option, value) -> setChildOption(bootstrap, option, value));
		bootstrap.bind(address).addListener((opened) -> {
			if (!opened.isSuccess()) {
				logger.warn(GatewayEvents.NO_TUNNELS, address, opened.cause().toString());
			}
		});
	}

	@SuppressWarnings("unchecked")
	private static <T> void setChildOption(ServerBootstrap bootstrap, ChannelOption<T> option, Object value) {
		bootstrap.childOption(option, (T) value);
	}

	/**
	 * Opens no further connections from now on; those that are open go on.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Returns the number of connections of other hosts.
	 * @return open connections
	 */
	public int connections() {
		return this.open.size();
	}

	/**
	 * A connection was accepted.
	 * @param handler its handler
	 * @param from address of the other side
	 * @return whether it may be used
	 */
	boolean accept(TunnelServerHandler handler, InetAddress from) {
		if (!this.knownHost.test(from)) {
			logger.debug("closed a connection of {}: no known host has this address", from);
			return false;
		}
		this.open.add(handler);
		return true;
	}

	/**
	 * A connection has ended.
	 * @param handler its handler
	 */
	void ended(TunnelServerHandler handler) {
		this.open.remove(handler);
	}

	/**
	 * Returns why no connection is opened. On a silent path the other host does not wait
	 * until this one has found out whether it still is.
	 * @param target the server
	 * @return the answer, empty if a connection may be opened
	 */
	Optional<TunnelAnswer> refusal(TunnelFrames.Target target) {
		if (this.draining || this.open.size() > MAX_CONNECTIONS) {
			return Optional.of(TunnelAnswer.BUSY);
		}
		Optional<ServerEntry> server = find(target);
		if (server.isEmpty()) {
			return Optional.of(TunnelAnswer.UNKNOWN_SERVER);
		}
		if (this.connector.paths().silent(server.get().service())) {
			this.connector.checkDirectPath(server.get());
			return Optional.of(TunnelAnswer.CUT_OFF);
		}
		return Optional.empty();
	}

	/**
	 * Returns a server that may get connections.
	 * @param target the server
	 * @return its registration
	 */
	Optional<ServerEntry> find(TunnelFrames.Target target) {
		return this.view.server(target.id())
			.filter((entry) -> entry.startMillis() == target.startMillis() && !entry.draining() && !evacuated(entry));
	}

	/**
	 * Returns whether a server must get no further requests although its connections stay
	 * open, so that those in flight end.
	 * @param server the server
	 * @return whether its zone is evacuated
	 */
	boolean evacuated(ServerEntry server) {
		return this.evacuated.contains(server.zone());
	}

	/**
	 * Finds out what to answer for a connection that failed.
	 * @param server the server
	 * @param cause why
	 * @param receiver receives an answer that blames the server only if this host is not
	 * cut off itself
	 */
	void explainFailure(ServerEntry server, Throwable cause, Consumer<TunnelAnswer> receiver) {
		if (ServerConnector.refused(cause)) {
			this.connector.ownPathCheck()
				.check(server, (whole) -> receiver.accept(whole ? TunnelAnswer.REFUSED : TunnelAnswer.UNDECIDED));
			return;
		}
		boolean suspected = this.connector.paths().suspected(server.service());
		receiver.accept(suspected ? TunnelAnswer.CUT_OFF : TunnelAnswer.SILENT);
	}

	ServerConnector connector() {
		return this.connector;
	}

}
