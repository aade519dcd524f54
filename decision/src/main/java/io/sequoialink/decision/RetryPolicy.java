package io.sequoialink.decision;

import java.util.List;

/**
 * Decides whether a request is retried after a failed attempt. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface RetryPolicy {

	/**
	 * Decides whether to retry after the last attempt.
	 * @param request the request
	 * @param attempts all completed attempts, oldest first; the last one failed
	 * @param idempotent whether the request may be executed more than once
	 * @param remainingMillis time left until the deadline, in milliseconds
	 * @return whether to retry, and after which delay
	 */
	Decision decide(RequestFacts request, List<Attempt> attempts, boolean idempotent, double remainingMillis);

	/**
	 * Records a successful request, which increases the budget for later retries.
	 */
	default void recordSuccess() {
	}

	/**
	 * The decision after a failed attempt. Immutable and thread-safe.
	 *
	 * @param retry whether to retry
	 * @param delayMillis delay before the retry, in milliseconds
	 * @param reason one word for the explanation of the request's decisions, such as
	 * retry, deadline or budget
	 */
	record Decision(boolean retry, long delayMillis, String reason) {
	}

}
