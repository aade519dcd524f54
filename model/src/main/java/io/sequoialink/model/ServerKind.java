package io.sequoialink.model;

/**
 * What a backend server runs. Immutable and thread-safe.
 */
public enum ServerKind {

	/** A model engine. */
	ENGINE,

	/** A plain service. */
	SERVICE

}
