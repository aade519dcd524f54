package io.sequoialink.daemon.http;

import java.util.Locale;
import java.util.Optional;

import io.sequoialink.model.Refusal;
import io.sequoialink.model.RequestId;

/**
 * The JSON body of a refusal. Immutable and thread-safe.
 *
 * @param error the refusal
 */
record ErrorBody(Details error) {

	static ErrorBody of(RequestId id, Refusal refusal) {
		return new ErrorBody(new Details(refusal.code().wireName(), refusal.reason(),
				refusal.effect().name().toLowerCase(Locale.ROOT), id.value(),
				refusal.retryAfter().map((delay) -> delay.toMillis())));
	}

	/**
	 * The refusal in the words of the interface. Immutable and thread-safe.
	 *
	 * @param code stable code
	 * @param message one sentence
	 * @param executed none, done or unknown
	 * @param request the request's identifier
	 * @param retryAfterMillis when to try again, in milliseconds
	 */
	record Details(String code, String message, String executed, String request, Optional<Long> retryAfterMillis) {
	}

}
