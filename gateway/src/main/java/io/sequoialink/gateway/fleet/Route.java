package io.sequoialink.gateway.fleet;

import java.util.List;

/**
 * Where requests of one host and path prefix go, and what may be done with them.
 * Immutable.
 *
 * @param name name of the route
 * @param host lower-case host name without port
 * @param pathPrefix prefix of the path, beginning and ending with a slash
 * @param kind what may be repeated
 * @param services services with their weights, at least one
 * @param timeoutMillis longest time that a client is kept waiting, in milliseconds
 * @param targetMillis time to the answer or first event that counts as on time, in
 * milliseconds
 * @param rank urgency, 0 is the highest
 * @param maxAttempts most backend servers to which one request may be sent, 1 or more
 * @param open whether requests need no key
 * @param resumable whether a stream may be continued at another backend server
 * @param pauseMillis longest pause between events that is still on time, in milliseconds;
 * 0 if none is stated
 * @param models names of the models that may answer, smallest first; empty if the client
 * names the model itself
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, List<WeightedService> services,
		int timeoutMillis, int targetMillis, int rank, int maxAttempts, boolean open, boolean resumable,
		int pauseMillis, List<String> models) {

	/**
	 * Returns whether a request may run more than once.
	 * @return whether repeats are allowed after an unknown outcome
	 */
	public boolean repeatable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAMING && this.resumable);
	}

	/**
	 * Returns whether answers are series of events.
	 * @return whether this is a streaming route
	 */
	public boolean streaming() {
		return this.kind == RequestKind.STREAMING;
	}

}
