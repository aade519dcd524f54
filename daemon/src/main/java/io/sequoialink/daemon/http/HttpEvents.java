package io.sequoialink.daemon.http;

/**
 * The numbered log events of this package; the catalogue is in the docs. Stateless.
 */
final class HttpEvents {

	static final String HANDLER_FAILED = "SL-2601 the handler of {} {} failed";

	static final String CALLER_GONE = "SL-2602 the caller of request {} closed its connection";

	static final String LISTENING = "SL-2603 listening on {}";

	static final String DRAINING = "SL-2604 draining: {} requests in flight, limit {} ms";

	static final String DRAINED = "SL-2605 drained; {} requests were still in flight";

	static final String CLOSE_FAILED = "SL-2606 the HTTP server did not close in order: {}";

	private HttpEvents() {
	}

}
