package io.sequoialink.cli;

import java.util.Objects;

/**
 * One request of the demo. Immutable and thread-safe.
 *
 * @param kind the kind of request
 * @param account the id of the client account
 * @param requestClass the id of the request class that is sent with a model request
 * @param prompt the prompt of a model request
 * @param maxTokens the largest number of tokens to generate
 * @param host index of the entry host that receives the request
 */
record DemoStep(Kind kind, String account, String requestClass, String prompt, int maxTokens, int host) {

	DemoStep {
		Objects.requireNonNull(kind, "kind");
	}

	/** The kinds of requests; the demo prints the names in lower case. */
	enum Kind {

		/** A model request whose response is sent in one piece. */
		WHOLE,

		/** A model request whose response is streamed. */
		STREAMED,

		/** The first request of a session. */
		SESSION_START,

		/** A later request of the session. */
		SESSION_NEXT,

		/** A call of a service that must be executed at most once. */
		CHARGE,

		/** The same call with the same idempotency key, to a host chosen anew. */
		CHARGE_AGAIN,

		/** A request for a version that the account may not use. */
		DISALLOWED,

		/** A request with an API key that belongs to no account. */
		UNKNOWN_ACCOUNT,

		/** Withdraws the version of the session. */
		WITHDRAW

	}

}
