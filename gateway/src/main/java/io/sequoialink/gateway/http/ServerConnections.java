package io.sequoialink.gateway.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Connections from this host to one backend server. Confined to the event loop. Each
 * connection carries at most one request at a time.
 */
final class ServerConnections {

	/** A connection that has been idle for longer is closed instead of being reused. */
	static final long MAX_IDLE_NANOS = 2_000_000_000L;

	private final InetSocketAddress address;

	private final Bootstrap bootstrap;

	private final HeaderMapping dialect;

	private final Deque<BackendConnection> idle = new ArrayDeque<>();

	private final List<Consumer<Optional<Throwable>>> probeCallbacks = new ArrayList<>();

	private int open;

	private boolean closed;

	ServerConnections(InetSocketAddress address, Bootstrap bootstrap, HeaderMapping dialect) {
		this.address = address;
		this.bootstrap = bootstrap;
		this.dialect = dialect;
	}

	HeaderMapping dialect() {
		return this.dialect;
	}

	/**
	 * Sends a request on an idle or a new connection.
	 * @param outbound the request and its listener
	 * @param onlyNew whether the request must be sent on a new connection
	 */
	void send(OutboundRequest outbound, boolean onlyNew) {
		BackendConnection connection = onlyNew ? null : takeIdle(outbound);
		if (connection != null) {
			connection.send(outbound);
			return;
		}
		connect(outbound);
	}

	private BackendConnection takeIdle(OutboundRequest outbound) {
		long now = System.nanoTime();
		BackendConnection connection = this.idle.pollFirst();
		while (connection != null && !(connection.usable(now) && connection.mayCarry(outbound))) {
			connection.close();
			connection = this.idle.pollFirst();
		}
		return connection;
	}

	private void connect(OutboundRequest outbound) {
		this.open++;
		BackendConnection connection = new BackendConnection(this);
		Bootstrap attempt = this.bootstrap.clone().handler(connection.initializer());
		ChannelFuture connecting = attempt.connect(this.address);
		outbound.connecting(connecting.channel());
		connecting.addListener((future) -> {
			if (future.isSuccess()) {
				connection.send(outbound);
				return;
			}
			this.open--;
			outbound.failConnecting(future.cause());
		});
	}

	/**
	 * Checks whether the server refuses all connections, as it does after a crash, by
	 * opening a new one. Concurrent checks share one connection.
	 * @param callback receives the connection error, or empty if the connection succeeded
	 */
	void probe(Consumer<Optional<Throwable>> callback) {
		this.probeCallbacks.add(callback);
		if (this.probeCallbacks.size() > 1) {
			return;
		}
		Bootstrap attempt = this.bootstrap.clone().handler(new ChannelInboundHandlerAdapter());
		attempt.connect(this.address).addListener((ChannelFuture connecting) -> {
			List<Consumer<Optional<Throwable>>> waiting = List.copyOf(this.probeCallbacks);
			this.probeCallbacks.clear();
			waiting.forEach((waiter) -> waiter.accept(Optional.ofNullable(connecting.cause())));
			connecting.channel().close();
		});
	}

	/**
	 * Returns a connection to the pool after a complete response.
	 * @param connection the connection
	 */
	void release(BackendConnection connection) {
		if (this.closed) {
			connection.close();
			return;
		}
		this.idle.addFirst(connection);
	}

	/**
	 * Removes a connection that was closed.
	 * @param connection the connection
	 */
	void ended(BackendConnection connection) {
		this.open--;
		this.idle.remove(connection);
	}

	/**
	 * Returns the number of connections, including those being opened.
	 * @return open connections
	 */
	int open() {
		return this.open;
	}

	/**
	 * Closes connections that have been idle for too long.
	 */
	void closeIdle() {
		long now = System.nanoTime();
		while (!this.idle.isEmpty() && !this.idle.peekLast().usable(now)) {
			this.idle.pollLast().close();
		}
	}

	/**
	 * Closes idle connections now and the others after their responses.
	 */
	void shutdown() {
		this.closed = true;
		while (!this.idle.isEmpty()) {
			this.idle.pollFirst().close();
		}
	}

}
