package io.sequoialink.gateway.permit;

import java.util.Map;
import java.util.Optional;

import io.sequoialink.decision.limits.ColdNotice;
import io.sequoialink.decision.limits.LimitObservation;
import io.sequoialink.decision.limits.PermitDecision;

/**
 * Datagram between two hosts about the limits of backend servers. Times are relative to
 * the moment of sending or receipt.
 */
sealed interface PermitMessage {

	/**
	 * Returns the name of the host that sent the message.
	 * @return name of the host
	 */
	String sender();

	/**
	 * Asks for a permit. Immutable.
	 *
	 * @param sender name of the asking host
	 * @param number number of the question, unique for the asking process
	 * @param server hash of the server's incarnation
	 * @param slice slice of the limit
	 * @param limit what the asking host knows of the limit that the server names;
	 * {@link LimitObservation#UNLIMITED} if it names none
	 * @param maxWaitNanos longest time until the permit, in nanoseconds
	 * @param cold what the asking host knows of a cold server; empty if it is warm
	 */
	record Ask(String sender, int number, long server, int slice, LimitObservation limit, long maxWaitNanos,
			Optional<ColdNotice> cold) implements PermitMessage {

		Ask(String sender, int number, long server, int slice, LimitObservation limit, long maxWaitNanos) {
			this(sender, number, server, slice, limit, maxWaitNanos, Optional.empty());
		}

	}

	/**
	 * Answers a question. Immutable.
	 *
	 * @param sender name of the answering host
	 * @param number number of the question
	 * @param decision the decision
	 */
	record Answer(String sender, int number, PermitDecision decision) implements PermitMessage {
	}

	/**
	 * Tells limits of servers. Immutable.
	 *
	 * @param sender name of the host that tells them
	 * @param limits observations by server hash
	 */
	record Limits(String sender, Map<Long, LimitObservation> limits) implements PermitMessage {
	}

	/**
	 * Asks for all limits in force, from a host that has started or was suspended.
	 * Immutable.
	 *
	 * @param sender name of the asking host
	 */
	record Query(String sender) implements PermitMessage {
	}

}
