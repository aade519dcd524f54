package io.sequoialink.gateway.fleet;

/**
 * Whether requests of a route may be retried after they were sent. Immutable.
 */
public enum RequestKind {

	/** A request may run any number of times. */
	IDEMPOTENT,

	/** A request may run at most once. */
	NON_IDEMPOTENT,

	/**
	 * The response is a series of events; a request runs at most once unless its route
	 * allows streams to be resumed.
	 */
	STREAMING

}
