package io.sequoialink.gateway.http;

import io.sequoialink.decision.limits.CapacityDecision;
import io.sequoialink.gateway.place.PromptSize;
import io.sequoialink.gateway.place.SelectedServer;

/**
 * Decision of {@link SendCheck} on the next send of a request. Immutable.
 */
sealed interface SendDecision {

	/**
	 * The request is sent.
	 *
	 * @param placed the server
	 * @param work size of the prompt
	 * @param needsPermit whether a permit must be acquired first
	 * @param chosenNanos monotonic time at which the server was chosen
	 */
	record Send(SelectedServer placed, PromptSize work, boolean needsPermit, long chosenNanos) implements SendDecision {
	}

	/**
	 * The request is decided on again after a fixed time; unlike a held one it is not
	 * counted and not woken earlier.
	 *
	 * @param millis time from now in milliseconds
	 */
	record DecideLater(long millis) implements SendDecision {
	}

	/**
	 * The request is held until there is room.
	 *
	 * @param decision the decision to hold it
	 */
	record Hold(CapacityDecision decision) implements SendDecision {
	}

	/**
	 * The request is not sent any more.
	 *
	 * @param reason text for the log
	 * @param retryAfterMillis when the client may retry, in milliseconds
	 */
	record Reject(String reason, long retryAfterMillis) implements SendDecision {
	}

}
