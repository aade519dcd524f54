package io.sequoialink.model;

/**
 * What a request or one of its attempts did at a backend server. Only {@link #NONE} may
 * be reported as not run. Immutable and thread-safe.
 */
public enum Effect {

	/** Nothing was run: a repetition is safe. */
	NONE,

	/** The work was run and its outcome is known. */
	DONE,

	/** The work may have been run: a repetition is safe only if it is idempotent. */
	UNKNOWN

}
