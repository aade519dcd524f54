package io.sequoialink.gateway.http;

/**
 * How a send ended without a complete answer. Immutable.
 */
enum SendLoss {

	/** No connection could be had: nothing was sent. */
	NOT_CONNECTED,

	/**
	 * The connection ended or the answer could not be read after the request was sent.
	 */
	BROKEN

}
