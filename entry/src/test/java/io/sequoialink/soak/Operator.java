package io.sequoialink.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes configurations to the store, as the platform's operator does. Safe for threads.
 */
final class Operator {

	private final StandinStore store;

	private int version;

	private int probes;

	private boolean extraKey = true;

	private Change last;

	Operator(StandinStore store) {
		this.store = store;
	}

	/**
	 * Writes a configuration in which the route for probes has a new path and a key is
	 * taken away or given back.
	 * @return what changed
	 */
	synchronized Change change() {
		this.version += 3;
		this.probes++;
		this.extraKey = !this.extraKey;
		this.store.put("op", "config", configuration());
		this.last = new Change(System.nanoTime(), path(this.probes), path(this.probes - 1), this.extraKey);
		return this.last;
	}

	/**
	 * Returns the newest change.
	 * @return the change
	 */
	synchronized Change last() {
		return this.last;
	}

	private static String path(int probe) {
		return "/probe" + probe + "/";
	}

	private String configuration() {
		List<String> routes = new ArrayList<>();
		routes.add(route("/safe/", "idempotent", "app"));
		routes.add(route("/once/", "non_idempotent", "app"));
		routes.add(route("/stream/", "streaming", "models"));
		routes.add(route(path(this.probes), "idempotent", "app"));
		String extra = this.extraKey ? ",{\"name\":\"extra\",\"api_keys\":[\"key-extra\"]}" : "";
		return "{\"version\":" + this.version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
				+ service("app") + ',' + service("models") + "],\"tenants\":[{\"name\":\"acme\",\"api_keys\":"
				+ "[\"key-acme\"]},{\"name\":\"bolt\",\"api_keys\":[\"key-bolt\"]}" + extra + "],\"limits\":"
				+ "{\"max_header_bytes\":8192,\"max_body_bytes\":65536,\"header_timeout_ms\":2000,"
				+ "\"idle_timeout_ms\":5000}}";
	}

	private static String route(String prefix, String kind, String service) {
		return "{\"name\":\"r-" + prefix.replace("/", "") + "\",\"host\":\"soak.example\",\"path_prefix\":\"" + prefix
				+ "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + Bounds.TIMEOUT_MILLIS + ",\"max_attempts\":"
				+ Bounds.MAX_ATTEMPTS + ",\"resumable\":" + kind.equals("streaming")
				+ ",\"target_latency_ms\":500,\"priority\":1,\"service\":\"" + service + "\"}";
	}

	private static String service(String name) {
		return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":200}";
	}

	/**
	 * A change of the configuration. Immutable.
	 *
	 * @param ackedNanos monotonic time at which the store had accepted it
	 * @param added path that is served from now on
	 * @param dropped path that is not served any more
	 * @param extraKey whether the key of the extra account holds
	 */
	record Change(long ackedNanos, String added, String dropped, boolean extraKey) {
	}

}
