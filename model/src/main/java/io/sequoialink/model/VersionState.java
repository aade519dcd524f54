package io.sequoialink.model;

/**
 * Whether a model version may receive work. Immutable and thread-safe.
 */
public enum VersionState {

	/** The version may receive work. */
	OFFERED,

	/** The version receives no new work. */
	WITHDRAWN

}
