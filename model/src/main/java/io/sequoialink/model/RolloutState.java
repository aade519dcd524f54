package io.sequoialink.model;

/**
 * The state of a roll-out. Immutable and thread-safe.
 */
public enum RolloutState {

	/** The candidate receives the share of its stage. */
	RUNNING,

	/** The candidate keeps its sessions but receives no new work. */
	PAUSED,

	/** The candidate has taken the place of the stable version. */
	COMPLETED,

	/** The candidate was found worse and receives no new work. */
	RETURNED

}
