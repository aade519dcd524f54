package io.sequoialink.remote;

/**
 * The numbered log events of this module. Stateless.
 */
final class RemoteEvents {

	static final String CLIENT_CLOSED = "SL-2801 HTTP client of {} closed";

	static final String TOKENS_DROPPED = "SL-2802 server {} sent {} foreign and {} duplicate tokens in an answer to {}";

	static final String CANCEL_FAILED = "SL-2803 request {} could not be cancelled at server {}: {}";

	static final String ANSWER_TRUNCATED = "SL-2804 server {} ended its answer to {} without all tokens: {} of {}";

	private RemoteEvents() {
	}

}
