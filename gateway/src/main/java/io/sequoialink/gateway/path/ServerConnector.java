package io.sequoialink.gateway.path;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.HashSet;
import java.util.List;
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
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.util.ReferenceCountUtil;
import io.sequoialink.gateway.GatewayEvents;
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

	/** Number of servers at which a host checks its own path. */
	private static final int MAX_CONFIRMING = 2;

	/** Number of hosts that are asked whether a server has ended. */
	private static final int MAX_WITNESSES = 2;

	private final Bootstrap toServers;

	private final Bootstrap toHosts;

	private final UnaryOperator<InetSocketAddress> addresses;

	private final ServicePaths paths;

	private final HelpingHosts hosts;

	private final OtherServers others;

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
		this.toServers = KeepAlive.newBootstrap(loop, CONNECT_MILLIS);
		this.toHosts = KeepAlive.newBootstrap(loop, HOST_CONNECT_MILLIS);
		this.addresses = addresses;
		this.paths = paths;
		this.hosts = hosts;
		this.others = others;
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
		return direct ? !(this.paths.silent(service) && this.hosts.anyUsable()) : this.paths.suspected(service);
	}

	/**
	 * Opens a connection to a server.
	 * @param server the server
	 * @param attempt receives the outcome
	 */
	public void open(ServerEntry server, ConnectionAttempt attempt) {
		if (this.paths.silent(server.service()) && this.hosts.anyUsable()) {
			checkDirectPath(server);
			openThroughHost(server, attempt, new HashSet<>());
		}
		else if (this.paths.broken(server.service()) && this.hosts.anyKnown()
				&& !this.paths.tryCheck(server.service())) {
			attempt.failed(noPath(server));
		}
		else {
			openDirectly(server, attempt);
		}
	}

	private static IOException noPath(ServerEntry server) {
		return new ConnectException("neither this host nor those that it asked reach servers of " + server.service());
	}

	private void openDirectly(ServerEntry server, ConnectionAttempt attempt) {
		ChannelFuture connecting = connect(server, attempt.newHandlers(), (cause) -> {
			if (cause.isEmpty()) {
				attempt.opened(true);
			}
			else if (!attempt.cancelled() && this.paths.suspected(server.service()) && this.hosts.anyUsable()) {
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

	private ChannelFuture connect(ServerEntry server, ChannelHandler handlers, Consumer<Optional<Throwable>> ended) {
		return connect(server, handlers, true, ended);
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
		Optional<Peer> host = (asked.size() < MAX_ASKED) ? this.hosts.choose(asked) : Optional.empty();
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
			else if (saysOfServer(answer, host.get())) {
				attempt.failed(new ConnectException("host " + host.get().host() + " says: " + answer));
			}
			else {
				openThroughHost(server, attempt, asked);
			}
		});
		attempt.connecting(connecting.channel());
	}

	// A host that gets no answer may be cut off without having noticed, unless it has
	// just
	// helped.
	private boolean saysOfServer(TunnelAnswer answer, Peer host) {
		return switch (answer) {
			case UNKNOWN_SERVER, REFUSED -> true;
			case SILENT -> this.hosts.trusted(host);
			default -> false;
		};
	}

	// The answer is CUT_OFF if the host itself did not answer.
	private ChannelFuture ask(Peer host, ServerEntry server, ChannelHandler handlers, Consumer<TunnelAnswer> receiver) {
		TunnelClientHandler handler = new TunnelClientHandler(host, this.hosts,
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

	// Beside each connection through another host, so that a path that is whole again is
	// found whether or not another host helps. A server to which one has just connected
	// is
	// alive, so that a direct connection to it tells most.
	private void checkDirectPath(ServerEntry server) {
		if (this.paths.suspected(server.service()) && this.paths.tryCheck(server.service())) {
			ChannelFuture connecting = connect(server, new UnusedConnectionHandler(), (cause) -> {
				// the outcome has been recorded
			});
			connecting.addListener((future) -> connecting.channel().close());
		}
	}

	/**
	 * Checks whether a server refuses all connections, as it does after a crash. A
	 * refusal counts only if another host is refused too, or none can tell and this
	 * host's own path is whole, since the path may be broken instead.
	 * @param server the server
	 * @param callback receives the connection error, or empty if a connection was made
	 */
	public void probe(ServerEntry server, Consumer<Optional<Throwable>> callback) {
		if (this.paths.silent(server.service()) && this.hosts.anyUsable()) {
			askWitness(server, new IOException("the direct path is suspected"), new HashSet<>(), callback);
			return;
		}
		ChannelFuture connecting = connect(server, new UnusedConnectionHandler(), (cause) -> {
			if (cause.filter(ServerConnector::refused).isPresent()) {
				askWitness(server, cause.get(), new HashSet<>(), callback);
			}
			else {
				callback.accept(cause);
			}
		});
		connecting.addListener((future) -> connecting.channel().close());
	}

	private void askWitness(ServerEntry server, Throwable result, Set<String> asked,
			Consumer<Optional<Throwable>> callback) {
		Optional<Peer> host = (asked.size() < MAX_WITNESSES) ? this.hosts.chooseAny(asked) : Optional.empty();
		if (host.isEmpty()) {
			concludeAlone(server, result, callback);
			return;
		}
		asked.add(host.get().host());
		ChannelFuture connecting = ask(host.get(), server, new UnusedConnectionHandler(), (answer) -> {
			switch (answer) {
				case CONNECTED -> callback.accept(Optional.empty());
				case REFUSED ->
					callback.accept(Optional.of(new ConnectException("refused, also to host " + host.get().host())));
				default -> askWitness(server, result, asked, callback);
			}
		});
		connecting.addListener((future) -> connecting.channel()
			.eventLoop()
			.schedule((Runnable) connecting.channel()::close, 2L * CONNECT_MILLIS, TimeUnit.MILLISECONDS));
	}

	// Without any other host there is nobody who could be reached instead.
	private void concludeAlone(ServerEntry server, Throwable result, Consumer<Optional<Throwable>> callback) {
		if (!refused(result) || !this.hosts.anyKnown()) {
			callback.accept(Optional.of(result));
			return;
		}
		confirmOwnPath(server,
				(whole) -> callback.accept(Optional.of(whole ? result : new IOException("no host can tell"))));
	}

	/**
	 * Finds out whether this host's own path is whole, after a server has refused a
	 * connection, by connecting to others.
	 * @param than the server that refuses
	 * @param callback receives whether another server takes a connection, or none is
	 * registered
	 */
	void confirmOwnPath(ServerEntry than, Consumer<Boolean> callback) {
		List<ServerEntry> drawn = this.others.draw(than, MAX_CONFIRMING);
		if (drawn.isEmpty()) {
			callback.accept(true);
			return;
		}
		OpenChecks checks = new OpenChecks(drawn.size(), callback);
		for (ServerEntry other : drawn) {
			ChannelFuture connecting = connect(other, new UnusedConnectionHandler(),
					(cause) -> checks.ended(cause.isEmpty()));
			connecting.addListener((future) -> connecting.channel().close());
		}
	}

	/**
	 * Returns the beliefs about the direct paths.
	 * @return the paths
	 */
	ServicePaths paths() {
		return this.paths;
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

	/** Checks that run at the same time; the first that succeeds decides. */
	private static final class OpenChecks {

		private final Consumer<Boolean> callback;

		private int open;

		private boolean decided;

		private OpenChecks(int open, Consumer<Boolean> callback) {
			this.open = open;
			this.callback = callback;
		}

		private void ended(boolean success) {
			this.open--;
			if (!this.decided && (success || this.open == 0)) {
				this.decided = true;
				this.callback.accept(success);
			}
		}

	}

	/** Handler of a connection that was only opened to see that it can be. */
	private static final class UnusedConnectionHandler extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			ReferenceCountUtil.release(message);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			logger.debug("connection that was opened as a check was lost: {}", cause.toString());
			context.close();
		}

	}

}
