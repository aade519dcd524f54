package io.sequoialink.model;

/**
 * Whether a request, or one attempt to serve it, was run by a backend server. Only
 * {@link #NONE} may be reported to the client as not run. Immutable and thread-safe.
 */
public enum Effect {

	/** It was not run: a retry is safe. */
	NONE,

	/** It was run and its outcome is known. */
	DONE,

	/** It may have been run: a retry is safe only if the request is idempotent. */
	UNKNOWN

}
