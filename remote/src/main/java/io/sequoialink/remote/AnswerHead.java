package io.sequoialink.remote;

import java.util.Optional;

import io.servicetalk.http.api.HttpResponseMetaData;

/**
 * Checks the head of an answer where the HTTP client is more lenient than the protocol.
 * Stateless.
 */
final class AnswerHead {

	/** Codes from here up to the one below are those of HTTP (RFC 9110, section 15). */
	private static final int FIRST_STATUS = 100;

	private static final int LAST_STATUS = 599;

	private AnswerHead() {
	}

	/**
	 * Returns why an answer counts for nothing.
	 * @param answer the answer, of which only the head has been read
	 * @return text, empty if nothing is wrong with the head
	 */
	static Optional<String> fault(HttpResponseMetaData answer) {
		int status = answer.status().code();
		if (status < FIRST_STATUS || status > LAST_STATUS) {
			return Optional.of("status " + status + ", which HTTP does not have");
		}
		return HeaderRules.lengthIsKnown(answer.headers()) ? Optional.empty()
				: Optional.of("a transfer coding that is not known here");
	}

}
