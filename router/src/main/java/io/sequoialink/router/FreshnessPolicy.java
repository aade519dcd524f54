package io.sequoialink.router;

import java.time.Duration;

/**
 * Decides whether a host may dispatch new requests while it can't confirm that its
 * configuration is current. Implementations are thread-safe.
 */
@FunctionalInterface
public interface FreshnessPolicy {

	/** Maximum age of a configuration that still counts as current. */
	Duration MAX_AGE = Duration.ofSeconds(5);

	/** Rejects all requests once the configuration is older than {@link #MAX_AGE}. */
	FreshnessPolicy STRICT = (age, candidate) -> age.compareTo(MAX_AGE) <= 0;

	/**
	 * Returns whether a version may receive new requests.
	 * @param age time since the configuration was last confirmed to be current
	 * @param candidate whether the version is the candidate of a roll-out
	 * @return whether requests may be dispatched to the version
	 */
	boolean allows(Duration age, boolean candidate);

}
