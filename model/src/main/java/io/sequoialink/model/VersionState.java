package io.sequoialink.model;

/**
 * Whether a model version may receive requests. Immutable and thread-safe.
 */
public enum VersionState {

	/** The version may receive requests. */
	OFFERED,

	/** The version receives no new requests. */
	WITHDRAWN

}
