package io.sequoialink.model;

import java.util.Objects;
import java.util.Set;

/**
 * A backend server as the platform's list shows it. Immutable and thread-safe.
 *
 * @param id the server's identifier
 * @param kind engine or plain service
 * @param ip numeric address
 * @param port TCP port
 * @param zone availability zone
 * @param offers version identifiers for an engine, service names for a plain service
 * @param leaving whether the platform is about to take it away
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
