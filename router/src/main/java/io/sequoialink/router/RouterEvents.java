package io.sequoialink.router;

/**
 * The numbered log events of this module; the catalogue is in the docs. Stateless.
 */
final class RouterEvents {

	static final String SERVER_LEAVING = "SL-2502 backend server {} is leaving and receives no new work";

	static final String RATING_UNAVAILABLE = "SL-2503 the rating service gives no answer: {}";

	static final String ATTEMPT_FAILED = "SL-2504 attempt {} of request {} on {} at {} failed: {} (effect {})";

	static final String UNEXPECTED_FAILURE = "SL-2505 request {} failed unexpectedly";

	static final String BILL_LOCAL = "SL-2506 the bill of request {} is held by this host alone";

	static final String SESSION_REFUSED = "SL-2507 a session token of account {} was refused: {}";

	static final String RATINGS_DROPPED = "SL-2509 {} ratings in the queue; the rating of request {} is dropped";

	private RouterEvents() {
	}

}
