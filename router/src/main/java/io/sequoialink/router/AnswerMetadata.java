package io.sequoialink.router;

import java.util.Objects;
import java.util.Optional;

import io.sequoialink.model.RequestId;
import io.sequoialink.model.VersionId;

/**
 * What is determined about an answer before its first token is generated. Immutable and
 * thread-safe.
 *
 * @param request the identifier of the request
 * @param version the model version that generates the answer
 * @param session the signed session token, empty if the request belongs to no session
 */
public record AnswerMetadata(RequestId request, VersionId version, Optional<String> session) {

	public AnswerMetadata {
		Objects.requireNonNull(request, "request");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(session, "session");
	}

}
