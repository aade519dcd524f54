package io.sequoialink.gateway.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operators' configuration, indexed for lookup. Immutable and
 * thread-safe.
 */
public final class Configuration {

	private final long version;

	private final Map<String, Map<String, Route>> routes = new HashMap<>();

	private final Map<String, BackendService> services = new HashMap<>();

	private final Map<String, ClientAccount> accountsByKey = new HashMap<>();

	private final boolean keysRequired;

	private final ClientLimits limits;

	/**
	 * Creates a configuration.
	 * @param version version number
	 * @param routes all routes
	 * @param services all services
	 * @param accounts client accounts; if there are none, no request needs a key
	 * @param limits limits for clients
	 */
	public Configuration(long version, List<Route> routes, List<BackendService> services, List<ClientAccount> accounts,
			ClientLimits limits) {
		this.version = version;
		for (Route route : routes) {
			this.routes.computeIfAbsent(route.host(), (host) -> new HashMap<>()).put(route.pathPrefix(), route);
		}
		for (BackendService service : services) {
			this.services.put(service.name(), service);
		}
		for (ClientAccount account : accounts) {
			account.keys().forEach((key) -> this.accountsByKey.put(key, account));
		}
		this.keysRequired = !accounts.isEmpty();
		this.limits = limits;
	}

	/**
	 * Returns the version number.
	 * @return the version, which increases with each change
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits for clients.
	 * @return the limits
	 */
	public ClientLimits limits() {
		return this.limits;
	}

	/**
	 * Returns whether requests on routes that are not open to everyone need an API key.
	 * @return whether any client account is configured
	 */
	public boolean keysRequired() {
		return this.keysRequired;
	}

	/**
	 * Finds the account that owns an API key.
	 * @param key the key as the client sent it
	 * @return the account, or empty if no account owns the key
	 */
	public Optional<ClientAccount> account(String key) {
		return Optional.ofNullable(this.accountsByKey.get(key));
	}

	/**
	 * Finds a service.
	 * @param name name of the service
	 * @return the service, if it is configured
	 */
	public Optional<BackendService> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Finds the route with the longest path prefix that matches.
	 * @param host host name, lower case, without port
	 * @param path path without query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String host, String path) {
		Map<String, Route> prefixes = this.routes.get(host);
		if (prefixes == null) {
			return Optional.empty();
		}
		int slash = path.lastIndexOf('/');
		while (slash >= 0) {
			Route route = prefixes.get(path.substring(0, slash + 1));
			if (route != null) {
				return Optional.of(route);
			}
			slash = path.lastIndexOf('/', slash - 1);
		}
		return Optional.empty();
	}

}
