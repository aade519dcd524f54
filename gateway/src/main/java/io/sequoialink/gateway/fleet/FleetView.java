package io.sequoialink.gateway.fleet;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What this host knows about the fleet: the configuration and the registered backend
 * servers. Confined to the event loop. The configuration is only ever replaced by a later
 * version.
 */
public final class FleetView {

	private Configuration configuration;

	private final Map<String, Map<String, ServerEntry>> serversByService = new HashMap<>();

	private final Map<String, ServerEntry> servers = new HashMap<>();

	/**
	 * Replaces the configuration unless the present one has the same or a later version.
	 * @param candidate the configuration
	 * @return whether it was replaced
	 */
	public boolean updateConfiguration(Configuration candidate) {
		if (this.configuration != null && candidate.version() <= this.configuration.version()) {
			return false;
		}
		this.configuration = candidate;
		return true;
	}

	/**
	 * Returns the configuration that this host applies now.
	 * @return the configuration, or empty before the first one has been read
	 */
	public Optional<Configuration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	/**
	 * Adds a backend server or replaces its registration.
	 * @param entry the registration
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
	 * @return whether it was registered
	 */
	public boolean remove(String id) {
		ServerEntry previous = this.servers.remove(id);
		if (previous == null) {
			return false;
		}
		this.serversByService.get(previous.service()).remove(id);
		return true;
	}

	/**
	 * Returns the registration of a backend server.
	 * @param id its identifier
	 * @return the registration, if the server is known
	 */
	public Optional<ServerEntry> server(String id) {
		return Optional.ofNullable(this.servers.get(id));
	}

	/**
	 * Returns the registrations of all backend servers.
	 * @return the registrations, draining servers included
	 */
	public Collection<ServerEntry> servers() {
		return Collections.unmodifiableCollection(this.servers.values());
	}

	/**
	 * Returns the registrations of a service's backend servers.
	 * @param service name of the service
	 * @return the registrations, draining servers included
	 */
	public Collection<ServerEntry> servers(String service) {
		Map<String, ServerEntry> known = this.serversByService.get(service);
		return (known != null) ? Collections.unmodifiableCollection(known.values()) : Collections.emptyList();
	}

}
