package io.sequoialink.router;

import io.sequoialink.remote.CallerGoneException;
import io.sequoialink.remote.EngineClient;

/**
 * Collects the tokens of one attempt and hands them on when the answer is streamed.
 * Confined to the worker thread of the request.
 */
final class TokenCollector implements EngineClient.TokenSink {

	private final AnswerSink sink;

	private final AnswerHead head;

	private final Clock clock;

	private final StringBuilder text = new StringBuilder();

	private int tokens;

	private long firstTokenMillis = -1;

	TokenCollector(AnswerSink sink, AnswerHead head, Clock clock) {
		this.sink = sink;
		this.head = head;
		this.clock = clock;
	}

	@Override
	public void token(int number, String token) throws CallerGoneException {
		if (number < this.tokens) {
			return;
		}
		if (this.tokens == 0) {
			this.firstTokenMillis = this.clock.monotonicMillis();
			this.sink.begin(this.head);
		}
		this.tokens++;
		this.text.append(token);
		this.sink.token(token);
	}

	int tokens() {
		return this.tokens;
	}

	String text() {
		return this.text.toString();
	}

	/**
	 * Returns when the first token arrived.
	 * @return monotonic milliseconds, -1 if none has arrived
	 */
	long firstTokenMillis() {
		return this.firstTokenMillis;
	}

}
