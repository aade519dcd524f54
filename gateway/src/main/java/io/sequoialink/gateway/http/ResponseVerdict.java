package io.sequoialink.gateway.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * What the head of a backend server's response says of the request.
 */
enum ResponseVerdict {

	/**
	 * There is no head, or it lacks the server's signature, so the outcome is unknown.
	 */
	NONE("broken"),

	/** The server states that it did not run the request. */
	NOT_RUN("not run"),

	/** The server ran the request and it failed. */
	FAILURE("failed"),

	/** The server ran the request; the response counts only if it is complete. */
	SUCCESS("broken");

	private static final int MISDIRECTED = 421;

	private final String outcome;

	ResponseVerdict(String outcome) {
		this.outcome = outcome;
	}

	/**
	 * Reads the head of a response.
	 * @param status status code
	 * @param headers headers as the server sent them
	 * @param metadata metadata in the headers
	 * @return what it says
	 */
	static ResponseVerdict of(int status, HttpHeaders headers, ResponseMetadata metadata) {
		if (metadata.notExecuted() || status == MISDIRECTED) {
			return NOT_RUN;
		}
		if (!metadata.signed() || headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
			return NONE;
		}
		return (status >= 200 && status < 300) ? SUCCESS : FAILURE;
	}

	/**
	 * Returns the outcome of an attempt that ends before its response is complete.
	 * @return value of the metric label
	 */
	String outcome() {
		return this.outcome;
	}

}
