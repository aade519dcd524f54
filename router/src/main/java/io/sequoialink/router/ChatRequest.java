package io.sequoialink.router;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.sequoialink.model.VersionId;
import io.sequoialink.remote.EngineClient.Message;

/**
 * A caller's request for a model's answer. Immutable and thread-safe.
 *
 * @param caller what the caller states beside the body
 * @param messages the conversation; not empty
 * @param maxTokens the most tokens of the answer; positive
 * @param streamed whether tokens are handed on as they arrive
 * @param version the only version that the caller accepts, if it names one
 */
public record ChatRequest(CallerContext caller, List<Message> messages, int maxTokens, boolean streamed,
		Optional<VersionId> version) {

	public ChatRequest {
		Objects.requireNonNull(caller, "caller");
		messages = List.copyOf(messages);
		Objects.requireNonNull(version, "version");
	}

}
