package io.sequoialink.gateway.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What a client's request says of itself besides method, path and body. Immutable.
 *
 * @param id identifier of the client attempt
 * @param key key of the client account
 * @param deadlineMillis how long the client waits, in milliseconds
 * @param model model that the client names
 * @param promptTokens tokens of the prompt, 0 if not stated
 * @param outputTokens most tokens of the answer, 0 if not stated
 * @param prompt parts of the prompt in order
 * @param session session that the request belongs to
 * @param lastEvent last event that the client holds of an earlier answer
 */
public record RequestFacts(Optional<String> id, Optional<String> key, OptionalInt deadlineMillis,
		Optional<String> model, int promptTokens, int outputTokens, List<PromptPart> prompt, Optional<String> session,
		Optional<String> lastEvent) {
}
