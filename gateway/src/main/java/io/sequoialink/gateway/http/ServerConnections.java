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
 * Connections of this host to one backend server. Confined to the event loop. At most one
 * request is under way on a connection.
 */
final class ServerConnections {

	/** A connection that rested longer than this is closed instead of being used. */
	static final long MAX_IDLE_NANOS = 2_000_000_000L;

	private final InetSocketAddress address;

	private final Bootstrap bootstrap;

	private final WireDialect dialect;

	private final Deque<BackendConnection> idle = new ArrayDeque<>();

	private final List<Consumer<Optional<Throwable>>> probing = new ArrayList<>();

	private int open;

	private boolean closed;

	ServerConnections(InetSocketAddress address, Bootstrap bootstrap, WireDialect dialect) {
		this.address = address;
		this.bootstrap = bootstrap;
		this.dialect = dialect;
	}

	WireDialect dialect() {
		return this.dialect;
	}

	/**
	 * Sends a request on an idle or a new connection.
	 * @param send the request and its listener
	 * @param onlyNew whether a connection that was used before is not good enough
	 */
	void send(BackendSend send, boolean onlyNew) {
		BackendConnection connection = onlyNew ? null : freshest();
		if (connection != null) {
			connection.send(send);
			return;
		}
		connect(send);
	}

	private BackendConnection freshest() {
		long now = System.nanoTime();
		BackendConnection connection = this.idle.pollFirst();
		while (connection != null && !connection.usable(now)) {
			connection.close();
			connection = this.idle.pollFirst();
		}
		return connection;
	}

	private void connect(BackendSend send) {
		this.open++;
		BackendConnection connection = new BackendConnection(this);
		Bootstrap attempt = this.bootstrap.clone().handler(connection.initializer());
		ChannelFuture connecting = attempt.connect(this.address);
		send.connecting(connecting.channel());
		connecting.addListener((future) -> {
			if (future.isSuccess()) {
				connection.send(send);
				return;
			}
			this.open--;
			send.fail(SendLoss.NOT_CONNECTED);
		});
	}

	/**
	 * Finds out whether the server takes no connections at all, as after a crash.
	 * @param found takes why a new connection failed, empty if it stood
	 */
	void probe(Consumer<Optional<Throwable>> found) {
		this.probing.add(found);
		if (this.probing.size() > 1) {
			return;
		}
		Bootstrap attempt = this.bootstrap.clone().handler(new ChannelInboundHandlerAdapter());
		attempt.connect(this.address).addListener((ChannelFuture connecting) -> {
			List<Consumer<Optional<Throwable>>> waiting = List.copyOf(this.probing);
			this.probing.clear();
			waiting.forEach((waiter) -> waiter.accept(Optional.ofNullable(connecting.cause())));
			connecting.channel().close();
		});
	}

	/**
	 * Takes a connection back after a complete answer.
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
	 * Notes that a connection has ended.
	 * @param connection the connection
	 */
	void ended(BackendConnection connection) {
		this.open--;
		this.idle.remove(connection);
	}

	/**
	 * Returns the number of connections, also those that are being opened.
	 * @return open connections
	 */
	int open() {
		return this.open;
	}

	/**
	 * Closes connections that have rested too long.
	 */
	void closeIdle() {
		long now = System.nanoTime();
		while (!this.idle.isEmpty() && !this.idle.peekLast().usable(now)) {
			this.idle.pollLast().close();
		}
	}

	/**
	 * Closes idle connections now and the others after their answers.
	 */
	void shutdown() {
		this.closed = true;
		while (!this.idle.isEmpty()) {
			this.idle.pollFirst().close();
		}
	}

}
