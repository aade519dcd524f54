package io.sequoialink.cli;

import java.util.Objects;

/**
 * One request of the demo. Immutable and thread-safe.
 *
 * @param kind what is asked
 * @param account the client account
 * @param requestClass the class of a request for a model
 * @param prompt the prompt
 * @param maxTokens the most tokens
 * @param host index of the entry host
 */
record DemoStep(Kind kind, String account, String requestClass, String prompt, int maxTokens, int host) {

	DemoStep {
		Objects.requireNonNull(kind, "kind");
	}

	/** What a step asks. */
	enum Kind {

		/** A whole answer. */
		WHOLE,

		/** A streamed answer. */
		STREAMED,

		/** The first request of a session. */
		SESSION_START,

		/** A later request of the session. */
		SESSION_NEXT,

		/** A call that may not be repeated. */
		CHARGE,

		/** The same call again, through another host. */
		CHARGE_AGAIN,

		/** A version that the account may not use. */
		DISALLOWED,

		/** A key that no account has. */
		UNKNOWN_ACCOUNT,

		/** Withdraws the version of the session. */
		WITHDRAW

	}

}
