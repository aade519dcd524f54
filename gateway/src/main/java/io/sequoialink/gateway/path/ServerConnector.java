package io.sequoialink.gateway.path;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.codec.ResponseDecoder;
import io.sequoialink.gateway.count.LabelledCounters;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.relay.Peer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Opens connections to backend servers: directly, or through another host while the
 * direct path to the servers of a service is suspected to be broken. Confined to the
 * event loop.
 *
 * <p>
 * A connection through another host carries the same bytes as a direct one, so this host
 * alone counts, limits and judges the requests on it. Nothing is sent to the server
 * before the connection is open, so a connection that could not be opened never carried a
 * request. A host opens such connections directly only, so no request passes through more
 * than two hosts.
 */
public final class ServerConnector {

	private static final Logger logger = LoggerFactory.getLogger(ServerConnector.class);

	/** Connect timeout for servers, in milliseconds. */
	private static final int CONNECT_MILLIS = 500;

	/**
	 * Time from which a connect that is given up before its timeout counts as unanswered.
	 * Within a region a server answers in a few milliseconds.
	 */
	private static final long SILENT_CONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Connect timeout for other hosts, in milliseconds. */
	private static final int HOST_CONNECT_MILLIS = 250;

	/** Number of hosts that are asked for one connection. */
	private static final int MAX_ASKED = 3;

	private final Bootstrap toServers;

	private final Bootstrap toHosts;

	private final UnaryOperator<InetSocketAddress> addresses;

	private final ServicePaths paths;

	private final HelpingHosts hosts;

	private final OwnPathCheck ownPathCheck;

	private final ServerProbe probe;

	private final LabelledCounters counts;

	private final LongSupplier clock;

	/**
	 * Creates a connector.
	 * @param loop the event loop
	 * @param addresses returns the address to connect to for a server's registered one
	 * @param paths beliefs about the direct paths
	 * @param hosts chooses the hosts that help
	 * @param others draws servers at which this host checks its own path
	 * @param counts counts the connections through other hosts, by outcome
	 * @param clock monotonic time in nanoseconds
	 */
	public ServerConnector(EventLoopGroup loop, UnaryOperator<InetSocketAddress> addresses, ServicePaths paths,
			HelpingHosts hosts, OtherServers others, LabelledCounters counts, LongSupplier clock) {
		this.toServers = ResponseDecoder.configure(KeepAlive.newBootstrap(loop, CONNECT_MILLIS))
			.option(ChannelOption.RCVBUF_ALLOCATOR, ReadSize.newAllocator());
		this.toHosts = KeepAlive.newBootstrap(loop, HOST_CONNECT_MILLIS)
			.option(ChannelOption.AUTO_CLOSE, false)
			.option(ChannelOption.RCVBUF_ALLOCATOR, ReadSize.newAllocator());
		this.addresses = addresses;
		this.paths = paths;
		this.hosts = hosts;
		this.ownPathCheck = new OwnPathCheck(this, others);
		this.probe = new ServerProbe(this, hosts, this.ownPathCheck);
		this.counts = counts;
		this.clock = clock;
	}

	/**
	 * Returns whether an open connection to a service's servers may be used for another
	 * request: through another host only while the direct path is suspected, directly
	 * only while it is not.
	 * @param service name of the service
	 * @param direct whether the connection is direct
	 * @return whether to use it
	 */
	public boolean prefers(String service, boolean direct) {
		return direct ? !(this.paths.silent(service) && this.hosts.of(service).anyUsable())
				: this.paths.suspected(service);
	}

	/**
	 * Opens a connection to a server.
	 * @param server the server
	 * @param attempt receives the outcome
	 */
	public void open(ServerEntry server, ConnectionAttempt attempt) {
		if (this.paths.silent(server.service()) && helpers(server).anyUsable()) {
			checkDirectPath(server);
			openThroughHost(server, attempt, new HashSet<>());
		}
		else if (this.paths.broken(server.service()) && this.hosts.anyKnown()) {
			checkDirectPath(server);
			attempt.failed(noPath(server));
		}
		else {
			openDirectly(server, attempt);
		}
	}

	private ServiceHelpers helpers(ServerEntry server) {
		return this.hosts.of(server.service());
	}

	private static IOException noPath(ServerEntry server) {
		return new ConnectException("neither this host nor those that it asked reach servers of " + server.service());
	}

	private void openDirectly(ServerEntry server, ConnectionAttempt attempt) {
		ChannelFuture connecting = connect(server, attempt.newHandlers(), true, (cause) -> {
			if (cause.isEmpty()) {
				attempt.opened(true);
			}
			else if (!attempt.cancelled() && this.paths.suspected(server.service()) && helpers(server).anyUsable()) {
				openThroughHost(server, attempt, new HashSet<>());
			}
			else {
				attempt.failed(cause.get());
			}
		});
		attempt.connecting(connecting.channel());
	}

	// A connect that this host gave up itself, because the request's time was over, ends
	// with another exception.
	private static boolean saysOfPath(Throwable cause, long nanos) {
		boolean givenUp = cause instanceof ClosedChannelException;
		return cause instanceof ConnectException || (givenUp && nanos >= SILENT_CONNECT_NANOS);
	}

	// What other hosts ask for does not count against this host's path: they ask for
	// servers that they could not connect to.
	private ChannelFuture connect(ServerEntry server, ChannelHandler handlers, boolean countsFailure,
			Consumer<Optional<Throwable>> ended) {
		long startedNanos = this.clock.getAsLong();
		ChannelFuture connecting = this.toServers.clone()
			.handler(handlers)
			.connect(this.addresses.apply(server.address()));
		connecting.addListener((future) -> {
			if (future.isSuccess()) {
				this.paths.connected(server, startedNanos);
			}
			else if (countsFailure && saysOfPath(future.cause(), this.clock.getAsLong() - startedNanos)) {
				this.paths.failed(server, !refused(future.cause()));
			}
			ended.accept(Optional.ofNullable(future.cause()));
		});
		return connecting;
	}

	/**
	 * Returns whether a connection was refused, as by a machine on which no server
	 * listens.
	 * @param cause why a connection could not be opened
	 * @return false if there was no answer
	 */
	public static boolean refused(Throwable cause) {
		return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
	}

	private void openThroughHost(ServerEntry server, ConnectionAttempt attempt, Set<String> asked) {
		Optional<Peer> host = (asked.size() < MAX_ASKED) ? helpers(server).choose(asked) : Optional.empty();
		if (host.isEmpty()) {
			this.counts.increment("no_host");
			attempt.failed(noPath(server));
			return;
		}
		asked.add(host.get().host());
		long startedNanos = this.clock.getAsLong();
		ChannelFuture connecting = ask(host.get(), server, attempt.newHandlers(), (answer) -> {
			if (attempt.cancelled()) {
				attempt.failed(noPath(server));
			}
			else if (answer == TunnelAnswer.CONNECTED) {
				logger.info(GatewayEvents.CONNECTED_THROUGH_HOST, server.id(), server.service(), host.get().host(),
						(this.clock.getAsLong() - startedNanos) / 1_000_000);
				attempt.opened(false);
				checkDirectPath(server);
			}
			else if (saysOfServer(answer, server, host.get())) {
				attempt.failed(new ConnectException("host " + host.get().host() + " says: " + answer));
			}
			else {
				openThroughHost(server, attempt, asked);
			}
		});
		attempt.connecting(connecting.channel());
	}

	// A host that gets no answer may be cut off without having noticed, unless it has
	// just helped.
	private boolean saysOfServer(TunnelAnswer answer, ServerEntry server, Peer host) {
		return switch (answer) {
			case UNKNOWN_SERVER, REFUSED -> true;
			case SILENT -> helpers(server).trusted(host);
			default -> false;
		};
	}

	// The answer is CUT_OFF if the host itself did not answer.
	private ChannelFuture ask(Peer host, ServerEntry server, ChannelHandler handlers, Consumer<TunnelAnswer> receiver) {
		TunnelClientHandler handler = new TunnelClientHandler(host, helpers(server),
				new TunnelFrames.Target(server.id(), server.startMillis()), handlers, this.clock, (answer) -> {
					this.counts.increment(answer.name().toLowerCase(Locale.ROOT));
					receiver.accept(answer);
				});
		ChannelFuture connecting = this.toHosts.clone().handler(handler.initializer()).connect(host.address());
		connecting.addListener((future) -> {
			if (!future.isSuccess()) {
				handler.notReached(future.cause());
			}
		});
		return connecting;
	}

	/**
	 * Tries a suspected path directly, unless that was done a moment ago. Done beside
	 * each connection through another host, so that a path that is whole again is found
	 * whether or not another host helps. A server to which one has just connected is
	 * alive, so that a direct connection to it tells most.
	 * @param server the server
	 */
	void checkDirectPath(ServerEntry server) {
		if (this.paths.suspected(server.service()) && this.paths.tryCheck(server.service())) {
			checkDirectly(server, (cause) -> {
				// the outcome has been recorded
			});
		}
	}

	/**
	 * Checks whether a server refuses all connections, as it does after a crash.
	 * @param server the server
	 * @param callback receives the connection error, or empty if a connection was made
	 */
	public void probe(ServerEntry server, Consumer<Optional<Throwable>> callback) {
		this.probe.check(server, callback);
	}

	/**
	 * Opens a direct connection only to see whether that is possible.
	 * @param server the server
	 * @param ended receives the connection error, or empty if a connection was made
	 */
	void checkDirectly(ServerEntry server, Consumer<Optional<Throwable>> ended) {
		ChannelFuture connecting = connect(server, new UnusedConnectionHandler(), true, ended);
		connecting.addListener((future) -> connecting.channel().close());
	}

	/**
	 * Has another host open a connection only to see whether that is possible.
	 * @param host the other host
	 * @param server the server
	 * @param receiver receives the answer
	 */
	void checkThroughHost(Peer host, ServerEntry server, Consumer<TunnelAnswer> receiver) {
		ChannelFuture connecting = ask(host, server, new UnusedConnectionHandler(), receiver);
		connecting.addListener((future) -> connecting.channel()
			.eventLoop()
			.schedule((Runnable) connecting.channel()::close, 2L * CONNECT_MILLIS, TimeUnit.MILLISECONDS));
	}

	/**
	 * Returns the beliefs about the direct paths.
	 * @return the paths
	 */
	ServicePaths paths() {
		return this.paths;
	}

	/**
	 * Returns the check of this host's own path.
	 * @return the check
	 */
	OwnPathCheck ownPathCheck() {
		return this.ownPathCheck;
	}

	/**
	 * Opens a connection for another host, directly only.
	 * @param server the server
	 * @param handlers handlers of the connection
	 * @param ended receives the connection error, or empty if the connection is open
	 * @return the channel that connects
	 */
	Channel openForOtherHost(ServerEntry server, ChannelHandler handlers, Consumer<Optional<Throwable>> ended) {
		return connect(server, handlers, false, ended).channel();
	}

}
