package io.sequoialink.gateway.rollout;

import java.util.Map;

/**
 * What one host saw of a roll-out. Immutable.
 *
 * @param service service that is moved
 * @param host name of the host
 * @param order offset of the order's record
 * @param routes answers by route
 */
public record HostEvidence(String service, String host, long order, Map<String, RouteEvidence> routes) {

	/**
	 * Creates the evidence; the map is copied.
	 */
	public HostEvidence {
		routes = Map.copyOf(routes);
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
