package io.sequoialink.gateway.http;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * An answer that the system itself gives. Immutable.
 *
 * @param status status code
 * @param reason short text for the client
 * @param retryAfterMillis when the client may come again, in milliseconds
 */
record OwnAnswer(int status, String reason, OptionalLong retryAfterMillis) {

	/**
	 * When a client may come again after a refusal, in milliseconds; a server that left
	 * or failed is known by then.
	 */
	static final long RETRY_MILLIS = 300;

	/**
	 * When a client may come again with a content that crashes servers, in milliseconds:
	 * long, since it will be refused again.
	 */
	static final long BLOCKED_MILLIS = 60_000;

	static OwnAnswer of(int status, String reason) {
		return new OwnAnswer(status, reason, OptionalLong.empty());
	}

	static OwnAnswer notRun(String reason, long retryAfterMillis) {
		return new OwnAnswer(503, reason, OptionalLong.of(retryAfterMillis));
	}

	Optional<String> retryAfterSeconds() {
		return this.retryAfterMillis.isPresent()
				? Optional.of(String.valueOf(this.retryAfterMillis.getAsLong() / 1000.0)) : Optional.empty();
	}

}
