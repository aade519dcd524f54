package io.sequoialink.router;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.VersionId;

/**
 * Receives measurements of requests, for metrics. Implementations are thread-safe and
 * never block.
 */
public interface RouterObserver {

	/** Ignores all measurements. */
	RouterObserver NONE = new RouterObserver() {
	};

	/**
	 * Called when an attempt is sent to a backend server.
	 * @param version the model version
	 * @param candidate whether the version is the candidate of a roll-out
	 */
	default void dispatched(VersionId version, boolean candidate) {
	}

	/**
	 * Called when a request has its complete answer or response.
	 * @param account the client account
	 * @param requestClass the request class, or the service for calls to a plain service
	 * @param firstTokenSeconds time to the first token for streamed answers, otherwise
	 * the same as {@code seconds}
	 * @param seconds time from arrival to the complete answer
	 * @param cost billed cost in micro-euros
	 */
	default void answered(AccountId account, String requestClass, double firstTokenSeconds, double seconds, long cost) {
	}

	/**
	 * Called when a request is rejected.
	 * @param account the client account, {@code unknown} if no account has the caller's
	 * key
	 * @param code the reason of the rejection
	 */
	default void refused(String account, RefusalCode code) {
	}

}
