package io.sequoialink.router;

/**
 * Message templates of the numbered log events of this module. Stateless.
 */
final class RouterEvents {

	static final String SERVER_SHUTTING_DOWN = "SL-2502 backend server {} is shutting down and receives no new requests";

	static final String RATING_UNAVAILABLE = "SL-2503 no rating from the rating service: {}";

	static final String ATTEMPT_FAILED = "SL-2504 attempt {} of request {} on {} at {} failed: {} (effect {})";

	static final String UNEXPECTED_FAILURE = "SL-2505 request {} failed with an unexpected exception";

	static final String BILL_LOCAL = "SL-2506 bill of request {} is stored on this host only";

	static final String SESSION_REFUSED = "SL-2507 session token sent by account {} was rejected: {}";

	static final String RATING_DROPPED = "SL-2509 {} ratings in the queue; request {} is not rated";

	private RouterEvents() {
	}

}
