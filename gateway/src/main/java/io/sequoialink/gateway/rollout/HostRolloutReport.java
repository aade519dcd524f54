package io.sequoialink.gateway.rollout;

import java.util.Map;
import java.util.Set;

import io.sequoialink.decision.rollout.RouteAnswerCounts;

/**
 * Report that one host publishes about a roll-out. Immutable.
 *
 * @param service service whose version changes
 * @param host name of the reporting host
 * @param target version that is rolled out, empty if the report does not name it
 * @param orderOffset offset in the store of the operator's roll-out order, which
 * identifies the roll-out
 * @param countsByRoute answer counts by route
 * @param pinnedSessions hashes of sessions that the reporting host keeps on an old
 * version although their hash is in the share of the sessions that goes to the new
 * version from the beginning of the roll-out
 */
public record HostRolloutReport(String service, String host, String target, long orderOffset,
		Map<String, RouteAnswerCounts> countsByRoute, Set<Long> pinnedSessions) {

	/** Copies the map and the set. */
	public HostRolloutReport {
		countsByRoute = Map.copyOf(countsByRoute);
		pinnedSessions = Set.copyOf(pinnedSessions);
	}

	/**
	 * Counts the answers of the new version on all routes.
	 * @return number of answers, bad ones included
	 */
	public long targetAnswers() {
		return this.countsByRoute.values().stream().mapToLong((route) -> route.target().answers()).sum();
	}

	/**
	 * Counts the bad answers of the new version on all routes.
	 * @return number of answers that were failures or several times slower than usual
	 */
	public long targetBadAnswers() {
		return this.countsByRoute.values().stream().mapToLong((route) -> route.target().bad()).sum();
	}

}
