package io.sequoialink.router;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.VersionId;

/**
 * Takes the figures of requests, for metrics. Implementations are thread-safe and never
 * block.
 */
public interface RouterObserver {

	/** Takes nothing. */
	RouterObserver NONE = new RouterObserver() {
	};

	/**
	 * Takes the dispatch of an attempt.
	 * @param version the version
	 * @param candidate whether the version is under roll-out
	 */
	default void dispatched(VersionId version, boolean candidate) {
	}

	/**
	 * Takes a whole answer.
	 * @param account the client account
	 * @param requestClass the class or service
	 * @param firstTokenSeconds time to the first token
	 * @param seconds time to the whole answer
	 * @param cost micro-euros
	 */
	default void answered(AccountId account, String requestClass, double firstTokenSeconds, double seconds, long cost) {
	}

	/**
	 * Takes a refusal.
	 * @param account the client account, {@code unknown} if it is not known
	 * @param code the code
	 */
	default void refused(String account, RefusalCode code) {
	}

}
