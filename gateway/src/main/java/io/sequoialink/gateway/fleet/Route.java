package io.sequoialink.gateway.fleet;

import java.util.List;

/**
 * How requests with a given host name and path prefix are handled. Immutable.
 *
 * @param name name of the route
 * @param host lower-case host name without port
 * @param pathPrefix prefix of the path, beginning and ending with a slash
 * @param kind whether requests may be retried
 * @param services services with their weights, at least one
 * @param timeoutMillis time after which a client receives an error response, in
 * milliseconds
 * @param targetLatencyMillis target latency until the response or its first event, in
 * milliseconds
 * @param priority priority of the requests, unless the account has its own; 0 is the most
 * important, a higher number is less important
 * @param maxAttempts maximum number of backend servers to which one request may be sent,
 * 1 or more
 * @param keyless whether requests are accepted without an API key
 * @param resumable whether a broken stream may be continued by another backend server
 * @param targetGapMillis target for the longest gap between two events of a stream, in
 * milliseconds; 0 if there is none
 * @param models models of the cascade that may respond, smallest first; empty if the
 * client chooses the model
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, List<WeightedService> services,
		int timeoutMillis, int targetLatencyMillis, int priority, int maxAttempts, boolean keyless, boolean resumable,
		int targetGapMillis, List<String> models) {

	/**
	 * Returns whether a request may be retried after an attempt with an unknown outcome.
	 * @return whether it may run more than once
	 */
	public boolean retryable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAMING && this.resumable);
	}

	/**
	 * Returns whether responses are series of events.
	 * @return whether this is a streaming route
	 */
	public boolean streaming() {
		return this.kind == RequestKind.STREAMING;
	}

}
