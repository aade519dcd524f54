package io.sequoialink.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Publishes configurations and evacuates zones in the store, as the operator of the
 * platform does. Thread-safe.
 */
final class Operator {

	private final SimulatedStore store;

	private int version;

	private int probeNumber;

	private boolean extraKeyValid = true;

	private Change lastChange;

	/** Zones that were evacuated, and whether they still are. */
	private final Map<String, Boolean> evacuations = new HashMap<>();

	Operator(SimulatedStore store) {
		this.store = store;
	}

	/**
	 * Publishes a configuration with a new path for the probe route, and with the API key
	 * of the account "extra" alternately removed and added again.
	 * @return the change
	 */
	synchronized Change publishChange() {
		this.version += 3;
		this.probeNumber++;
		this.extraKeyValid = !this.extraKeyValid;
		this.store.put("op", "config", configuration());
		this.lastChange = new Change(System.nanoTime(), probePath(this.probeNumber), probePath(this.probeNumber - 1),
				this.extraKeyValid);
		return this.lastChange;
	}

	synchronized void evacuate(String zone) {
		this.evacuations.put(zone, true);
		writeEvacuation(zone, true);
	}

	synchronized void endEvacuation(String zone) {
		this.evacuations.put(zone, false);
		writeEvacuation(zone, false);
	}

	private void writeEvacuation(String zone, boolean evacuated) {
		this.store.put("op", "evacuate/" + zone, evacuated ? "{}" : "");
	}

	/**
	 * Publishes the newest configuration again, unchanged, and the evacuations with their
	 * ends, after the store has returned from an older copy.
	 */
	synchronized void writeAgain() {
		this.evacuations.forEach(this::writeEvacuation);
		this.store.put("op", "config", configuration());
		this.lastChange = new Change(System.nanoTime(), this.lastChange.addedPath(), this.lastChange.removedPath(),
				this.lastChange.extraKeyValid());
	}

	/**
	 * Returns the newest published change.
	 * @return the change, null before the first
	 */
	synchronized Change lastChange() {
		return this.lastChange;
	}

	private static String probePath(int probe) {
		return "/probe" + probe + "/";
	}

	private String configuration() {
		List<String> routes = new ArrayList<>();
		routes.add(route("/safe/", "idempotent", "app"));
		routes.add(route("/once/", "non_idempotent", "app"));
		routes.add(route("/stream/", "streaming", "models"));
		routes.add(route(probePath(this.probeNumber), "idempotent", "app"));
		routes.add(route("/small/", "idempotent", "small"));
		routes.add(route("/pair/", "idempotent", SecondAnswers.SERVICE));
		String extra = this.extraKeyValid ? ",{\"name\":\"extra\",\"api_keys\":[\"key-extra\"]}" : "";
		return "{\"version\":" + this.version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
				+ service("app") + ',' + service("models") + ',' + service("small") + ','
				+ service(SecondAnswers.SERVICE) + "],\"tenants\":[{\"name\":\"acme\",\"api_keys\":"
				+ "[\"key-acme\"]},{\"name\":\"bolt\",\"api_keys\":[\"key-bolt\"]}" + extra + "],\"limits\":"
				+ "{\"max_header_bytes\":8192,\"max_body_bytes\":4194304,\"header_timeout_ms\":2000,"
				+ "\"idle_timeout_ms\":5000}}";
	}

	private static String route(String prefix, String kind, String service) {
		return "{\"name\":\"r-" + prefix.replace("/", "") + "\",\"host\":\"soak.example\",\"path_prefix\":\"" + prefix
				+ "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + Bounds.REQUEST_TIMEOUT_MILLIS + ",\"max_attempts\":"
				+ Bounds.MAX_ATTEMPTS + ",\"resumable\":" + kind.equals("streaming")
				+ ",\"target_latency_ms\":500,\"priority\":1,\"service\":\"" + service + "\"}";
	}

	private static String service(String name) {
		String cold = name.equals("app") ? ",\"cold_per_s\":" + Bounds.COLD_PER_SECOND : "";
		return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":200" + cold + "}";
	}

	/**
	 * One published change of the configuration. Immutable.
	 *
	 * @param acknowledgedNanos monotonic time after the store accepted it
	 * @param addedPath path that the configuration adds
	 * @param removedPath path that the configuration removes
	 * @param extraKeyValid whether the API key of the account "extra" is valid
	 */
	record Change(long acknowledgedNanos, String addedPath, String removedPath, boolean extraKeyValid) {
	}

}
