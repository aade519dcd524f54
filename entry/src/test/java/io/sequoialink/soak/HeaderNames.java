package io.sequoialink.soak;

/**
 * Names of the HTTP headers that the simulated servers and clients use, in lower case as
 * {@link HttpMessages} returns them.
 */
final class HeaderNames {

	static final String REQUEST_ID = "x-sequoialink-request-id";

	static final String CREDENTIAL = "x-sequoialink-credential";

	static final String ACCOUNT = "x-sequoialink-tenant";

	static final String DEADLINE = "x-sequoialink-deadline-ms";

	/** Set by hosts only; a host must not forward the header of a client. */
	static final String HOLD = "x-sequoialink-hold";

	static final String EXPECTED_INSTANCE = "x-sequoialink-expect-instance";

	static final String NOT_EXECUTED = "x-sequoialink-not-executed";

	static final String SERVER_SEAL = "x-sequoialink-server-seal";

	static final String LAST_EVENT_ID = "last-event-id";

	/** Sent with the value 1 by a server that is shutting down. */
	static final String SERVER_LEAVING = "server-leaving";

	/** Requests per second that a server takes from all hosts together. */
	static final String SERVER_BRITTLE = "server-brittle";

	static final String SERVER_LIMIT = "server-limit";

	/** Parts of the prompt with their numbers of tokens. */
	static final String PROMPT = "x-sequoialink-prompt-prefix";

	static final String RETRY_AFTER = "retry-after";

	/** Rises by one each time the store has returned from an older copy. */
	static final String STORE_ERA = "store-era";

	private HeaderNames() {
	}

}
