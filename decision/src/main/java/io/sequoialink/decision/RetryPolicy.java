package io.sequoialink.decision;

import java.util.List;

/**
 * Decides whether a failed attempt is tried again. Implementations are thread-safe.
 */
@FunctionalInterface
public interface RetryPolicy {

	/**
	 * Decides on the last attempt.
	 * @param request the request
	 * @param attempts all ended attempts, oldest first; the last one failed
	 * @param idempotent whether the work may be repeated
	 * @param remainingMillis time left until the deadline
	 * @return what to do
	 */
	Verdict decide(RequestFacts request, List<Attempt> attempts, boolean idempotent, double remainingMillis);

	/**
	 * Counts a success, which pays for a part of a later retry.
	 */
	default void succeeded() {
	}

	/**
	 * What to do after a failed attempt. Immutable and thread-safe.
	 *
	 * @param retry whether to try again
	 * @param delayMillis time to wait before, in milliseconds
	 * @param reason one word for the explanation
	 */
	record Verdict(boolean retry, long delayMillis, String reason) {
	}

}
