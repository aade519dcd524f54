package io.sequoialink.gateway.flow;

/**
 * What is to be done next with a request. Immutable.
 */
public enum Next {

	/** Nothing: the request goes on as it is, or has ended already. */
	NOTHING,

	/** Choose a backend server and send the request to it. */
	SEND,

	/** Hand on the failure that a backend server answered. */
	PASS_FAILURE,

	/** Answer that the request was not run and may be sent again. */
	REFUSE,

	/** Answer that the outcome is unknown because a backend server broke off. */
	REPORT_UNKNOWN,

	/** Answer that the time is over and the outcome unknown. */
	REPORT_TIMEOUT,

	/** End the client's connection, since a part of an answer was sent already. */
	CUT,

	/** Stop the work at backend servers, since nobody waits for it. */
	ABANDON

}
