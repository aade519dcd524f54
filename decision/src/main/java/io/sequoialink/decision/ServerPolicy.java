package io.sequoialink.decision;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.sequoialink.model.ServerId;

/**
 * Chooses the backend server of an attempt. Implementations are thread-safe and never
 * choose a server that is leaving or among the avoided, as long as another is there.
 */
@FunctionalInterface
public interface ServerPolicy {

	/**
	 * Chooses a server.
	 * @param request the request
	 * @param servers the servers that offer the version
	 * @param avoided servers that earlier attempts used
	 * @param random seeded randomness
	 * @return the server, or empty if none may be used
	 */
	Optional<ServerId> choose(RequestFacts request, List<ServerView> servers, Set<ServerId> avoided,
			RandomGenerator random);

}
