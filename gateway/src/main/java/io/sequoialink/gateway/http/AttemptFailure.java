package io.sequoialink.gateway.http;

/**
 * How an attempt ended without a complete response.
 */
enum AttemptFailure {

	/** No connection could be established; nothing was sent. */
	NOT_CONNECTED,

	/**
	 * The server announced its shutdown, asked for a back-off, or its zone was evacuated
	 * before the request was written; nothing was sent.
	 */
	NOT_SENT,

	/**
	 * The server closed the connection before its response was complete.
	 */
	DISCONNECTED,

	/**
	 * The connection went through another host and was lost on the way there, before the
	 * response was complete. It says nothing about the server.
	 */
	HOST_LOST,

	/**
	 * This host closed the connection, for example because the response could not be
	 * parsed.
	 */
	ABORTED

}
