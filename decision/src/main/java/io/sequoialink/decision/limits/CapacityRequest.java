package io.sequoialink.decision.limits;

import java.util.Collection;

/**
 * A request on which {@link CapacityPolicy} decides. Immutable.
 *
 * @param account client account, empty if it is not known
 * @param priority priority, 0 for the most urgent requests
 * @param targetMillis target latency of its route, in milliseconds; 0 if it has none
 * @param remainingMillis time until its deadline, in milliseconds
 * @param heldMillis time for which it has been held already, in milliseconds
 * @param servers incarnations of the usable servers of its service
 */
public record CapacityRequest(String account, int priority, long targetMillis, long remainingMillis, long heldMillis,
		Collection<Long> servers) {
}
