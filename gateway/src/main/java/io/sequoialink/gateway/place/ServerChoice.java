package io.sequoialink.gateway.place;

import java.util.Optional;

/**
 * Chooses a backend server for a request. Called on the event loop.
 */
@FunctionalInterface
public interface ServerChoice {

	/**
	 * Chooses a server.
	 * @param request what the choice rests on
	 * @return the server, or empty if none can take the request now
	 */
	Optional<Placed> choose(PlaceRequest request);

}
