package io.sequoialink.router;

import java.util.Objects;

/**
 * The complete answer to a chat request. Immutable and thread-safe.
 *
 * @param metadata request identifier, model version and session token
 * @param text the text of the complete answer
 * @param promptTokens prompt tokens of the attempt that produced the answer
 * @param answerTokens generated tokens of the answer
 * @param finishReason why the engine stopped generating: {@code stop} or {@code length}
 * @param cost billed cost of all complete answers to the request, in micro-euros
 */
public record ChatAnswer(AnswerMetadata metadata, String text, int promptTokens, int answerTokens, String finishReason,
		long cost) {

	public ChatAnswer {
		Objects.requireNonNull(metadata, "head");
		Objects.requireNonNull(text, "text");
		Objects.requireNonNull(finishReason, "finishReason");
	}

}
