package io.sequoialink.gateway.http;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.sequoialink.gateway.count.LabelledCounters;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.path.ServerConnector;

/**
 * Connections from this host to all backend servers. Confined to the event loop.
 */
public final class BackendPool {

	private final ServerConnector connector;

	private final HeaderMapping dialect;

	private final UnexpectedHeads unexpectedHeads;

	private final Map<String, ServerConnections> servers = new HashMap<>();

	/**
	 * Creates a pool.
	 * @param connector opens connections
	 * @param dialect reads and writes metadata in the headers
	 * @param unexpectedHeads counts the heads of responses that no request took, by
	 * reason
	 */
	public BackendPool(ServerConnector connector, HeaderMapping dialect, LabelledCounters unexpectedHeads) {
		this.connector = connector;
		this.dialect = dialect;
		this.unexpectedHeads = new UnexpectedHeads(unexpectedHeads);
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
				(id) -> new ServerConnections(server, this.connector, this.dialect, this.unexpectedHeads));
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
