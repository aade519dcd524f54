package io.sequoialink.gateway.place;

import java.util.Optional;

/**
 * Chooses the backend server for an attempt. Called on the event loop.
 */
@FunctionalInterface
public interface LoadBalancer {

	/**
	 * Chooses the server to which the next attempt of a request is sent.
	 * @param request criteria of the choice
	 * @return the server, or empty if none can take the request now
	 */
	Optional<SelectedServer> choose(LoadBalancingRequest request);

}
