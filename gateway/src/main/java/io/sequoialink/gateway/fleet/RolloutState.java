package io.sequoialink.gateway.fleet;

/**
 * State of a roll-out. Immutable.
 */
public enum RolloutState {

	/** In progress: old versions and the target version may receive requests. */
	ACTIVE,

	/** Successful: all requests go to the target version. */
	COMPLETED,

	/** Failed: the target version receives no requests. */
	ROLLED_BACK

}
