package io.sequoialink.decision;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.sequoialink.model.ServerId;

/**
 * Chooses the backend server of an attempt. Implementations are thread-safe. They never
 * choose a server that is shutting down, and choose an avoided server only if no other
 * one is available.
 */
@FunctionalInterface
public interface ServerPolicy {

	/**
	 * Chooses a server.
	 * @param request the request
	 * @param servers the servers that offer the version
	 * @param avoided servers that earlier attempts of this request used
	 * @param random seeded source of randomness
	 * @return the server, or empty if none may be used
	 */
	Optional<ServerId> choose(RequestFacts request, List<ServerView> servers, Set<ServerId> avoided,
			RandomGenerator random);

}
