package io.sequoialink.gateway.fleet;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What this host believes about the fleet. Confined to the event loop. Versions of the
 * configuration only go forward.
 */
public final class FleetView {

	private Configuration configuration;

	private final Map<String, Map<String, ServerEntry>> serversByService = new HashMap<>();

	private final Map<String, ServerEntry> servers = new HashMap<>();

	/**
	 * Takes a version of the configuration, unless a newer one is known.
	 * @param offered the configuration
	 * @return whether it was taken
	 */
	public boolean offer(Configuration offered) {
		if (this.configuration != null && offered.version() <= this.configuration.version()) {
			return false;
		}
		this.configuration = offered;
		return true;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty before the first one is known
	 */
	public Optional<Configuration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	/**
	 * Adds or replaces a backend server.
	 * @param entry what it says of itself
	 */
	public void put(ServerEntry entry) {
		remove(entry.id());
		this.servers.put(entry.id(), entry);
		this.serversByService.computeIfAbsent(entry.service(), (service) -> new LinkedHashMap<>())
			.put(entry.id(), entry);
	}

	/**
	 * Removes a backend server.
	 * @param id its identifier
	 * @return whether it was known
	 */
	public boolean remove(String id) {
		ServerEntry before = this.servers.remove(id);
		if (before == null) {
			return false;
		}
		this.serversByService.get(before.service()).remove(id);
		return true;
	}

	/**
	 * Returns one backend server.
	 * @param id its identifier
	 * @return the entry, if it is known
	 */
	public Optional<ServerEntry> server(String id) {
		return Optional.ofNullable(this.servers.get(id));
	}

	/**
	 * Returns all backend servers.
	 * @return the entries
	 */
	public Collection<ServerEntry> servers() {
		return Collections.unmodifiableCollection(this.servers.values());
	}

	/**
	 * Returns the backend servers of a service.
	 * @param service name of the service
	 * @return the entries, draining ones included
	 */
	public Collection<ServerEntry> servers(String service) {
		Map<String, ServerEntry> known = this.serversByService.get(service);
		return (known != null) ? Collections.unmodifiableCollection(known.values()) : Collections.emptyList();
	}

}
