package io.sequoialink.router;

import java.time.Duration;

/**
 * Decides whether a host may give new work out while it can't confirm that its
 * configuration is current. Implementations are thread-safe.
 */
@FunctionalInterface
public interface FreshnessPolicy {

	/** The age up to which every view counts as current. */
	Duration BOUND = Duration.ofSeconds(5);

	/** Refuses all new work once the view is older than {@link #BOUND}. */
	FreshnessPolicy STRICT = (age, candidate) -> age.compareTo(BOUND) <= 0;

	/**
	 * Decides for one version.
	 * @param age time since the view was last confirmed
	 * @param candidate whether the version is the candidate of a roll-out
	 * @return whether it may receive new work
	 */
	boolean admits(Duration age, boolean candidate);

}
