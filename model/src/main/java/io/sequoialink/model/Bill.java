package io.sequoialink.model;

import java.util.Objects;

/**
 * Charge for one request, covering all its attempts, to a client account. Immutable and
 * thread-safe. Bills are keyed by the request, so a duplicate record has no effect.
 *
 * @param request the billed request
 * @param account client account that is charged
 * @param version model version whose answer the client received, or name of the plain
 * service
 * @param tokens prompt and output tokens of all attempts
 * @param cost cost in micro-euros
 * @param atMillis time at which the answer was complete, in milliseconds since 1970
 */
public record Bill(RequestId request, AccountId account, String version, long tokens, long cost, long atMillis) {

	public Bill {
		Objects.requireNonNull(request, "request");
		Objects.requireNonNull(account, "account");
		Objects.requireNonNull(version, "version");
	}

}
