package io.sequoialink.gateway.fleet;

/**
 * What may be done with a request that has been sent once. Immutable.
 */
public enum RequestKind {

	/** May run any number of times. */
	IDEMPOTENT,

	/** May run at most once. */
	NON_IDEMPOTENT,

	/**
	 * Answered by a series of events; runs at most once unless its route is resumable.
	 */
	STREAMING

}
