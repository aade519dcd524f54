package io.sequoialink.router;

import io.sequoialink.remote.CallerGoneException;

/**
 * Takes a streamed answer. Called on the worker thread of the request, in order.
 */
public interface AnswerSink {

	/** Takes nothing; for answers that are not streamed. */
	AnswerSink NONE = new AnswerSink() {

		@Override
		public void begin(AnswerHead head) {
		}

		@Override
		public void token(String text) {
		}

	};

	/**
	 * Begins the answer, once, directly before its first token.
	 * @param head what is known of the answer
	 * @throws CallerGoneException if the caller has closed its connection
	 */
	void begin(AnswerHead head) throws CallerGoneException;

	/**
	 * Takes the next token.
	 * @param text its text
	 * @throws CallerGoneException if the caller has closed its connection
	 */
	void token(String text) throws CallerGoneException;

}
