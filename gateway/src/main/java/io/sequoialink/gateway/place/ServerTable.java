package io.sequoialink.gateway.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * The states of all known backend servers. Confined to the event loop. A server that
 * starts again under its old identifier begins with an empty state.
 */
public final class ServerTable {

	private final FleetView view;

	private final Map<String, ServerState> states = new HashMap<>();

	/**
	 * Creates a table over a view.
	 * @param view the view whose servers are tracked
	 */
	public ServerTable(FleetView view) {
		this.view = view;
	}

	/**
	 * Returns the usable servers of a service.
	 * @param service name of the service
	 * @return states of its servers that are not draining
	 */
	public List<ServerState> usable(String service) {
		List<ServerState> usable = new ArrayList<>();
		for (ServerEntry entry : this.view.servers(service)) {
			if (!entry.draining()) {
				usable.add(state(entry));
			}
		}
		return usable;
	}

	private ServerState state(ServerEntry entry) {
		ServerState known = this.states.get(entry.id());
		if (known == null || known.entry().bornMillis() != entry.bornMillis()) {
			known = new ServerState(entry);
			this.states.put(entry.id(), known);
		}
		known.update(entry);
		return known;
	}

	/**
	 * Returns a server's state.
	 * @param id identifier of the server
	 * @return the state, if the server was used or considered
	 */
	public Optional<ServerState> find(String id) {
		return Optional.ofNullable(this.states.get(id));
	}

	/**
	 * Forgets servers that are no longer in the view and have nothing under way.
	 */
	public void prune() {
		this.states.values()
			.removeIf((state) -> state.inFlight() == 0 && this.view.server(state.entry().id()).isEmpty());
	}

}
