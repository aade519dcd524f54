package io.sequoialink.gateway.http;

import io.sequoialink.decision.limits.RoomDecision;
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
	 */
	record Send(SelectedServer placed, PromptSize work, boolean needsPermit) implements SendDecision {
	}

	/**
	 * The request is decided on again later.
	 *
	 * @param millis time from now in milliseconds
	 */
	record DecideLater(long millis) implements SendDecision {
	}

	/**
	 * The request is held until there is room.
	 *
	 * @param room the decision to hold it
	 */
	record Hold(RoomDecision room) implements SendDecision {
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
