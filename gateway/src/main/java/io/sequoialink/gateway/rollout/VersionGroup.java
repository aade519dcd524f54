package io.sequoialink.gateway.rollout;

/** Versions of a service to which a request may be sent. Immutable. */
public enum VersionGroup {

	/** Any version, because no roll-out is active. */
	ANY,

	/** The new version, or an old one if no server of the new version is usable. */
	PREFER_TARGET,

	/** An old version, or the new one if no server of an old version is usable. */
	PREFER_OLD,

	/** Old versions only, because the new version was rolled back or stopped. */
	OLD_ONLY

}
