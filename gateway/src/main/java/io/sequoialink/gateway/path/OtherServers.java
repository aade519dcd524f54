package io.sequoialink.gateway.path;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * Draws servers at which a host finds out whether its own path is whole, when one server
 * refuses its connections. Confined to the event loop.
 */
public final class OtherServers {

	private final FleetView view;

	private final RandomGenerator random;

	/**
	 * Creates a source of servers.
	 * @param view the registered servers
	 * @param random draws the servers
	 */
	public OtherServers(FleetView view, RandomGenerator random) {
		this.view = view;
		this.random = random;
	}

	/**
	 * Draws servers of the same service. Those of other services may be reached on
	 * another path, so they are drawn only if the service has no other server.
	 * @param refusing the server that refuses
	 * @param most most servers to draw
	 * @return the servers, none if no other is registered
	 */
	List<ServerEntry> draw(ServerEntry refusing, int most) {
		List<ServerEntry> sameService = usable(this.view.servers(refusing.service()), refusing);
		return drawFrom(sameService.isEmpty() ? usable(this.view.servers(), refusing) : sameService, most);
	}

	/**
	 * Draws servers of other services.
	 * @param refusing a server of the service to leave out
	 * @param most most servers to draw
	 * @return the servers, none if no other is registered
	 */
	List<ServerEntry> drawOfOtherServices(ServerEntry refusing, int most) {
		List<ServerEntry> candidates = usable(this.view.servers(), refusing);
		candidates.removeIf((server) -> server.service().equals(refusing.service()));
		return drawFrom(candidates, most);
	}

	private List<ServerEntry> drawFrom(List<ServerEntry> candidates, int most) {
		Collections.shuffle(candidates, new Random(this.random.nextLong()));
		return candidates.subList(0, Math.min(most, candidates.size()));
	}

	private static List<ServerEntry> usable(Collection<ServerEntry> servers, ServerEntry refusing) {
		List<ServerEntry> usable = new ArrayList<>();
		for (ServerEntry server : servers) {
			if (!server.draining() && !server.id().equals(refusing.id())) {
				usable.add(server);
			}
		}
		return usable;
	}

}
