package io.sequoialink.gateway.rollout;

import java.util.Map;
import java.util.Set;

/**
 * What one host saw of a roll-out. Immutable.
 *
 * @param service service that is moved
 * @param host name of the host
 * @param order offset of the order's record
 * @param routes answers by route
 * @param kept hashes of sessions that the host has on an old version though their turn is
 * in the first half
 */
public record HostEvidence(String service, String host, long order, Map<String, RouteEvidence> routes, Set<Long> kept) {

	/**
	 * Creates the evidence; map and set are copied.
	 */
	public HostEvidence {
		routes = Map.copyOf(routes);
		kept = Set.copyOf(kept);
	}

	/**
	 * Returns how many answers of the new version it holds.
	 * @return answers on all routes
	 */
	public long targetAnswers() {
		return this.routes.values().stream().mapToLong((route) -> route.target().answers()).sum();
	}

	/**
	 * Returns how many bad answers of the new version it holds.
	 * @return bad answers on all routes
	 */
	public long targetBad() {
		return this.routes.values().stream().mapToLong((route) -> route.target().bad()).sum();
	}

}
