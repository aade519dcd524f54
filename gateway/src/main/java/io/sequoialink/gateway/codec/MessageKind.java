package io.sequoialink.gateway.codec;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * What differs in the syntax of requests and responses.
 */
enum MessageKind {

	/**
	 * A folded field is taken, as one value (RFC 9112, section 5.2).
	 */
	REQUEST(StartLines::checkRequestLine, TransferCodings::checkRequest, true),

	/** A folded field is not taken. */
	RESPONSE(StartLines::checkStatusLine, TransferCodings::checkResponse, false);

	private final StartLineCheck startLine;

	private final HeadersCheck headers;

	private final boolean foldedFields;

	MessageKind(StartLineCheck startLine, HeadersCheck headers, boolean foldedFields) {
		this.startLine = startLine;
		this.headers = headers;
		this.foldedFields = foldedFields;
	}

	/**
	 * Returns the check of a message's first line.
	 * @return the check
	 */
	StartLineCheck startLine() {
		return this.startLine;
	}

	/**
	 * Returns the check of a message's headers, once they are decoded.
	 * @return the check
	 */
	HeadersCheck headers() {
		return this.headers;
	}

	/**
	 * Returns whether a field may go on in a line that begins with a blank.
	 * @return whether it is taken
	 */
	boolean foldedFields() {
		return this.foldedFields;
	}

	/**
	 * Checks the first line of a message.
	 */
	@FunctionalInterface
	interface StartLineCheck {

		/**
		 * Checks a line.
		 * @param line the line without its end, one character a byte
		 * @throws MalformedMessageException if it is malformed
		 */
		void check(String line) throws MalformedMessageException;

	}

	/**
	 * Checks the headers of a message.
	 */
	@FunctionalInterface
	interface HeadersCheck {

		/**
		 * Checks headers.
		 * @param headers the decoded headers
		 * @throws MalformedMessageException if the message can't be read by them
		 */
		void check(HttpHeaders headers) throws MalformedMessageException;

	}

}
