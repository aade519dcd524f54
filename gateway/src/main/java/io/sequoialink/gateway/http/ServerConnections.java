package io.sequoialink.gateway.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.path.ConnectionAttempt;
import io.sequoialink.gateway.path.ServerConnector;

/**
 * Connections from this host to one backend server. Confined to the event loop. Each
 * connection carries at most one request at a time.
 */
final class ServerConnections {

	/** A connection that has been idle for longer is closed instead of being reused. */
	static final long MAX_IDLE_NANOS = 2_000_000_000L;

	private final ServerEntry server;

	private final ServerConnector connector;

	private final HeaderMapping dialect;

	private final UnexpectedHeads unexpectedHeads;

	private final Deque<BackendConnection> idle = new ArrayDeque<>();

	private final List<Consumer<Optional<Throwable>>> probeCallbacks = new ArrayList<>();

	private int open;

	private boolean closed;

	ServerConnections(ServerEntry server, ServerConnector connector, HeaderMapping dialect,
			UnexpectedHeads unexpectedHeads) {
		this.server = server;
		this.connector = connector;
		this.dialect = dialect;
		this.unexpectedHeads = unexpectedHeads;
	}

	HeaderMapping dialect() {
		return this.dialect;
	}

	/**
	 * Counts a head that no request took, without a line in the log.
	 * @param reason why it was not taken
	 */
	void countNotTaken(UnexpectedHead reason) {
		this.unexpectedHeads.count(reason);
	}

	/**
	 * Records a head, or bytes of which none was read, that no request took.
	 * @param reason why it was not taken
	 * @param use the connection and the number of its last request
	 * @param received what was received
	 * @param awaiting id of the request that awaits a response, "none" without one
	 */
	void notTaken(UnexpectedHead reason, ConnectionUse use, String received, String awaiting) {
		this.unexpectedHeads.record(reason, this.server, use, received, awaiting);
	}

	/**
	 * Sends a request on an idle or a new connection.
	 * @param outbound the request and its listener
	 * @param onlyNew whether the request must be sent on a new connection
	 */
	void send(OutboundRequest outbound, boolean onlyNew) {
		BackendConnection connection = (onlyNew || outbound.head()) ? null : takeIdle(outbound);
		if (connection != null) {
			connection.send(outbound);
			return;
		}
		connect(outbound);
	}

	private BackendConnection takeIdle(OutboundRequest outbound) {
		long now = System.nanoTime();
		BackendConnection connection = this.idle.pollFirst();
		while (connection != null && !mayUse(connection, outbound, now)) {
			connection.close();
			connection = this.idle.pollFirst();
		}
		return connection;
	}

	private boolean mayUse(BackendConnection connection, OutboundRequest outbound, long now) {
		return connection.usable(now) && connection.mayCarry(outbound)
				&& this.connector.prefers(this.server.service(), connection.direct());
	}

	private void connect(OutboundRequest outbound) {
		this.open++;
		this.connector.open(this.server, new Opening(outbound));
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
		this.connector.probe(this.server, (failure) -> {
			List<Consumer<Optional<Throwable>>> waiting = List.copyOf(this.probeCallbacks);
			this.probeCallbacks.clear();
			waiting.forEach((waiter) -> waiter.accept(failure));
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

	/** Opens the connection for a request. */
	private final class Opening implements ConnectionAttempt {

		private final OutboundRequest outbound;

		private BackendConnection connection;

		private Opening(OutboundRequest outbound) {
			this.outbound = outbound;
		}

		@Override
		public boolean cancelled() {
			return this.outbound.done();
		}

		@Override
		public ChannelHandler newHandlers() {
			this.connection = new BackendConnection(ServerConnections.this);
			return this.connection.initializer();
		}

		@Override
		public void connecting(Channel channel) {
			this.outbound.connecting(channel);
		}

		@Override
		public void opened(boolean direct) {
			this.connection.opened(direct);
			this.connection.send(this.outbound);
		}

		@Override
		public void failed(Throwable cause) {
			ServerConnections.this.open--;
			this.outbound.failConnecting(cause);
		}

	}

}
