package io.sequoialink.gateway.rollout;

/**
 * Which versions of a service may answer a request. Immutable.
 */
public enum VersionGroup {

	/** Any version: no roll-out is under way. */
	ANY,

	/** The new version; an old one if there is no other. */
	TARGET,

	/** An old version; the new one if there is no other. */
	OLD,

	/** Old versions only. */
	OLD_ONLY

}
