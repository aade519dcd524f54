package io.sequoialink.gateway.flow;

/**
 * What is known of whether a request was run at any backend server. Immutable.
 */
public enum Ran {

	/** No backend server began to run it. */
	NO,

	/** A backend server ran it, as its answer says. */
	YES,

	/** It was sent, and no answer says whether it ran. */
	UNKNOWN

}
