package io.sequoialink.gateway.flow;

/**
 * Whether any backend server executed a request. Immutable.
 */
public enum Executed {

	/** No backend server started to execute it. */
	NO,

	/** A backend server executed it, as its response shows. */
	YES,

	/** It was sent, and no response shows whether it was executed. */
	UNKNOWN

}
