package io.sequoialink.model;

import java.util.Objects;

/**
 * What one request costs its client account, over all its attempts. Immutable and
 * thread-safe. Bills are keyed by the request, so a repeated record changes nothing.
 *
 * @param request the billed request
 * @param account the client account
 * @param version the version whose answer was given, or the service's name
 * @param tokens prompt and answer tokens of all attempts
 * @param cost micro-euros
 * @param atMillis when the answer was complete, epoch milliseconds
 */
public record Bill(RequestId request, AccountId account, String version, long tokens, long cost, long atMillis) {

	public Bill {
		Objects.requireNonNull(request, "request");
		Objects.requireNonNull(account, "account");
		Objects.requireNonNull(version, "version");
	}

}
