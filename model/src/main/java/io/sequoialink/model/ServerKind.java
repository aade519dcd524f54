package io.sequoialink.model;

/**
 * Kind of program that a backend server runs. Immutable and thread-safe.
 */
public enum ServerKind {

	/** A model engine, which generates answers with one or more model versions. */
	ENGINE,

	/** A {@link PlainService}, which involves no model. */
	SERVICE

}
