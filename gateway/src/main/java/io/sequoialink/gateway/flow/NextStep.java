package io.sequoialink.gateway.flow;

/**
 * What the caller of {@link RequestFlow} has to do next for a request. Immutable.
 */
public enum NextStep {

	/** Nothing: the attempt in progress continues, or the request has ended. */
	NOTHING,

	/** Choose a backend server and start an attempt. */
	SEND,

	/** Forward the failure response of a backend server. */
	FORWARD_FAILURE,

	/** Respond that the request was not executed and may be sent again. */
	REJECT,

	/** Respond that the outcome is unknown because a backend server broke off. */
	REPORT_UNKNOWN,

	/** Respond that the time limit is exceeded and the outcome unknown. */
	REPORT_TIMEOUT,

	/**
	 * Close the client's connection, because part of a response has been sent and the
	 * rest is not available.
	 */
	CLOSE_CONNECTION,

	/** Cancel the attempts in progress, because the client has disconnected. */
	CANCEL

}
