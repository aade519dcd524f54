package io.sequoialink.model;

import java.util.Objects;
import java.util.Set;

/**
 * A backend server as listed by the platform's service discovery. Immutable and
 * thread-safe.
 *
 * @param id identifier of the server
 * @param kind whether it runs a model engine or a plain service
 * @param ip numeric IP address
 * @param port TCP port
 * @param zone availability zone
 * @param offers what it serves: identifiers of model versions for an engine, names of
 * services for a plain service
 * @param leaving whether the platform is about to shut it down
 */
public record BackendServer(ServerId id, ServerKind kind, String ip, int port, String zone, Set<String> offers,
		boolean leaving) {

	public BackendServer {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(ip, "ip");
		Objects.requireNonNull(zone, "zone");
		offers = Set.copyOf(offers);
	}

}
