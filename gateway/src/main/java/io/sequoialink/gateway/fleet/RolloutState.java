package io.sequoialink.gateway.fleet;

/**
 * Where a roll-out stands. Immutable.
 */
public enum RolloutState {

	/** Both versions may receive requests. */
	ACTIVE,

	/** All requests go to the new version. */
	COMPLETED,

	/** The new version receives no requests. */
	ROLLED_BACK

}
