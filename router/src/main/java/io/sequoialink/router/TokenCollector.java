package io.sequoialink.router;

import io.sequoialink.remote.CallerGoneException;
import io.sequoialink.remote.EngineClient;

/**
 * Collects the tokens of an answer and forwards them to the sink. Drops tokens that an
 * earlier attempt already delivered when an interrupted stream is resumed. Confined to
 * the worker thread of the request.
 */
final class TokenCollector implements EngineClient.TokenSink {

	private final AnswerSink sink;

	private final AnswerMetadata metadata;

	private final Clock clock;

	private final StringBuilder text = new StringBuilder();

	private int tokenCount;

	private long firstTokenMillis = -1;

	TokenCollector(AnswerSink sink, AnswerMetadata metadata, Clock clock) {
		this.sink = sink;
		this.metadata = metadata;
		this.clock = clock;
	}

	@Override
	public void token(int index, String token) throws CallerGoneException {
		if (index < this.tokenCount) {
			return;
		}
		if (this.tokenCount == 0) {
			this.firstTokenMillis = this.clock.monotonicMillis();
			this.sink.begin(this.metadata);
		}
		this.tokenCount++;
		this.text.append(token);
		this.sink.token(token);
	}

	int tokenCount() {
		return this.tokenCount;
	}

	String text() {
		return this.text.toString();
	}

	/**
	 * Returns when the first token arrived.
	 * @return time in milliseconds on the monotonic clock, -1 if no token has arrived
	 */
	long firstTokenMillis() {
		return this.firstTokenMillis;
	}

}
