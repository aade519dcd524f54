package io.sequoialink.model;

/**
 * State of a {@link Rollout}. Immutable and thread-safe.
 */
public enum RolloutState {

	/**
	 * The candidate receives its share of new requests according to the current stage.
	 */
	RUNNING,

	/** The candidate continues to serve its sessions but receives no new requests. */
	PAUSED,

	/**
	 * The candidate has replaced the stable version and receives its new requests.
	 */
	COMPLETED,

	/** Rolled back: the candidate was judged worse and receives no new requests. */
	RETURNED

}
