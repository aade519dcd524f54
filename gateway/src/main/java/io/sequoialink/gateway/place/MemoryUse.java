package io.sequoialink.gateway.place;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * What this host's requests need of the memory of inference engines on average: tokens of
 * output by route, tokens held and time by service. Confined to the event loop.
 */
public final class MemoryUse {

	private static final double SMOOTHING = 0.05;

	private final Map<String, Double> outputTokens = new HashMap<>();

	private final Map<String, Double> heldTokens = new HashMap<>();

	private final Map<String, Double> heldMillis = new HashMap<>();

	/**
	 * Records a request that is sent.
	 * @param service name of its service
	 * @param tokens tokens that it is expected to hold
	 */
	public void sent(String service, double tokens) {
		observe(this.heldTokens, service, tokens);
	}

	/**
	 * Records a complete stream.
	 * @param service name of its service
	 * @param route name of its route
	 * @param tokens tokens of its output
	 * @param millis time since it was sent, in milliseconds
	 */
	public void completed(String service, String route, double tokens, double millis) {
		observe(this.outputTokens, route, tokens);
		observe(this.heldMillis, service, millis);
	}

	/**
	 * Returns the mean output of a route's requests.
	 * @param route name of the route
	 * @return tokens, empty before the first complete stream
	 */
	public OptionalDouble outputTokens(String route) {
		return find(this.outputTokens, route);
	}

	/**
	 * Returns the mean holding of a request.
	 * @param service name of the service
	 * @return tokens, 0 before the first request
	 */
	public double heldTokens(String service) {
		return find(this.heldTokens, service).orElse(0);
	}

	/**
	 * Returns the mean time for which a request holds its tokens.
	 * @param service name of the service
	 * @return milliseconds, empty before the first complete stream
	 */
	public OptionalDouble heldMillis(String service) {
		return find(this.heldMillis, service);
	}

	private static OptionalDouble find(Map<String, Double> means, String key) {
		Double mean = means.get(key);
		return (mean != null) ? OptionalDouble.of(mean) : OptionalDouble.empty();
	}

	private static void observe(Map<String, Double> means, String key, double value) {
		means.merge(key, value, (mean, added) -> mean + SMOOTHING * (added - mean));
	}

}
