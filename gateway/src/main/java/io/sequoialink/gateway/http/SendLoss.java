package io.sequoialink.gateway.http;

/**
 * How a send ended without a complete answer. Immutable.
 */
enum SendLoss {

	/** No connection could be had: nothing was sent. */
	NOT_CONNECTED,

	/**
	 * The server ended the connection before its answer was complete.
	 */
	DISCONNECTED,

	/**
	 * The answer could not be read, or the connection was given up here.
	 */
	BROKEN

}
