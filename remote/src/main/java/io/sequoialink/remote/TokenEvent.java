package io.sequoialink.remote;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * One line of an engine's answer: a token, or the end marker with the totals. Immutable
 * and thread-safe.
 *
 * @param request the request that the engine answers
 * @param attempt its attempt
 * @param number the token's number, from 0
 * @param text the token's text
 * @param end whether this is the end marker
 * @param promptTokens on the end marker, tokens of the prompt
 * @param cachedTokens on the end marker, prompt tokens that the prefix cache held
 * @param answerTokens on the end marker, tokens of the whole answer
 * @param finishReason on the end marker, {@code stop} or {@code length}
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record TokenEvent(String request, int attempt, int number, String text, boolean end, int promptTokens,
		int cachedTokens, int answerTokens, String finishReason) {

	/**
	 * Returns a token.
	 * @param request the request that the engine answers
	 * @param attempt its attempt
	 * @param number the token's number, from 0
	 * @param text the token's text
	 * @return the event
	 */
	public static TokenEvent token(String request, int attempt, int number, String text) {
		return new TokenEvent(request, attempt, number, text, false, 0, 0, 0, null);
	}

}
