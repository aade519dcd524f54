package io.sequoialink.router;

import java.util.Objects;
import java.util.Optional;

import io.sequoialink.model.RequestId;
import io.sequoialink.model.VersionId;

/**
 * What is known of an answer before its first token. Immutable and thread-safe.
 *
 * @param request the request
 * @param version the version that answers
 * @param session the sealed token of the request's session, if it has one
 */
public record AnswerHead(RequestId request, VersionId version, Optional<String> session) {

	public AnswerHead {
		Objects.requireNonNull(request, "request");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(session, "session");
	}

}
