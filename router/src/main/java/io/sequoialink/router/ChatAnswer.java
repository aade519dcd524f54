package io.sequoialink.router;

import java.util.Objects;

/**
 * A whole answer. Immutable and thread-safe.
 *
 * @param head version and session
 * @param text the whole text
 * @param promptTokens tokens of the prompt of the answering attempt
 * @param answerTokens tokens of the answer
 * @param finishReason why the engine stopped
 * @param cost micro-euros over all attempts, as billed
 */
public record ChatAnswer(AnswerHead head, String text, int promptTokens, int answerTokens, String finishReason,
		long cost) {

	public ChatAnswer {
		Objects.requireNonNull(head, "head");
		Objects.requireNonNull(text, "text");
		Objects.requireNonNull(finishReason, "finishReason");
	}

}
