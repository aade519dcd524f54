package io.sequoialink.gateway.http;

/**
 * Why the head of a response was not taken as that of the request that awaits one.
 */
enum UnexpectedHead {

	/** An interim response; the final one is still to come. */
	INTERIM("interim"),

	/** It answers an earlier request of its connection once more. */
	EARLIER("answers an earlier request of this connection"),

	/** Its request was never sent on its connection. */
	FOREIGN("its request was never sent on this connection"),

	/** It carries no id, and its connection has answered others before. */
	UNNAMED("has no id, after other responses"),

	/** It was read from the beginning of one response and the head of another. */
	JOINED("a status line stands inside it"),

	/** It can't be read as a response. */
	UNREADABLE("can't be read as a response"),

	/** Bytes follow a complete response. */
	FOLLOWING("follows a complete response"),

	/** No request awaits a response. */
	UNAWAITED("no request awaits a response");

	private final String reason;

	UnexpectedHead(String reason) {
		this.reason = reason;
	}

	/**
	 * Returns the reason in words.
	 * @return text for the log
	 */
	String reason() {
		return this.reason;
	}

}
