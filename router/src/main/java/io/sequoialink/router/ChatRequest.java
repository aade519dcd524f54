package io.sequoialink.router;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.sequoialink.model.VersionId;
import io.sequoialink.remote.EngineClient.Message;

/**
 * A request for an answer of a language model. Immutable and thread-safe.
 *
 * @param caller the parameters that the caller sent outside the body
 * @param messages the messages of the conversation, oldest first; not empty
 * @param maxTokens maximum number of tokens to generate; positive
 * @param streamed whether tokens are sent to the caller as they arrive
 * @param version the version that the caller requires, if any
 */
public record ChatRequest(CallerContext caller, List<Message> messages, int maxTokens, boolean streamed,
		Optional<VersionId> version) {

	public ChatRequest {
		Objects.requireNonNull(caller, "caller");
		messages = List.copyOf(messages);
		Objects.requireNonNull(version, "version");
	}

}
