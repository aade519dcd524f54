package io.sequoialink.router;

import io.sequoialink.remote.CallerGoneException;

/**
 * Receives the tokens of a streamed answer. All methods are called on the worker thread
 * of the request, in the order of the tokens.
 */
public interface AnswerSink {

	/** Discards all tokens; used for answers that are not streamed. */
	AnswerSink NONE = new AnswerSink() {

		@Override
		public void begin(AnswerMetadata metadata) {
		}

		@Override
		public void token(String text) {
		}

	};

	/**
	 * Starts the answer. Called once, immediately before the first token.
	 * @param metadata the data about the answer that precedes its tokens
	 * @throws CallerGoneException if the caller has closed its connection
	 */
	void begin(AnswerMetadata metadata) throws CallerGoneException;

	/**
	 * Receives the next token.
	 * @param text the text of the token
	 * @throws CallerGoneException if the caller has closed its connection
	 */
	void token(String text) throws CallerGoneException;

}
