package io.sequoialink.ledger;

import java.util.Objects;

import io.sequoialink.model.RequestId;

/**
 * The outcome of non-idempotent work. Immutable by convention: the body is never written.
 * Thread-safe.
 *
 * @param request the request that ran the work
 * @param status HTTP status of the service
 * @param contentType content type of the body
 * @param body the service's response
 */
public record RecordedOutcome(RequestId request, int status, String contentType, byte[] body) {

	public RecordedOutcome {
		Objects.requireNonNull(request, "request");
		Objects.requireNonNull(body, "body");
	}

}
