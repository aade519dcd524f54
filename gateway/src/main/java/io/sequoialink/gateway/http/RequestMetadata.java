package io.sequoialink.gateway.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Metadata in the headers of a client's request. Immutable.
 *
 * @param id identifier of this submission by the client; a retry by the client is another
 * submission
 * @param key key of the client account
 * @param deadlineMillis how long the client waits, in milliseconds
 * @param model model that the client asks for
 * @param promptTokens number of tokens of the prompt, 0 if not stated
 * @param outputTokens maximum number of tokens of the response, 0 if not stated
 * @param lengthHint the client's estimate of the number of tokens of the response
 * @param prompt parts of the prompt, in the order in which they stand there
 * @param session session that the request belongs to
 * @param lastEvent id of the last event that the client received of an earlier response
 */
public record RequestMetadata(Optional<String> id, Optional<String> key, OptionalInt deadlineMillis,
		Optional<String> model, int promptTokens, int outputTokens, OptionalInt lengthHint, List<PromptPart> prompt,
		Optional<String> session, Optional<String> lastEvent) {
}
