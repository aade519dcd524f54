package io.sequoialink.standin;

import java.util.Set;

/**
 * The settings of one engine. Immutable and thread-safe.
 *
 * @param id the engine's name on the platform's list
 * @param zone its availability zone
 * @param versions the versions that are loaded at the start
 * @param capacity runs that the batch holds
 * @param queueLimit runs that may wait
 * @param prefixLimit prefixes that the cache keeps
 * @param speed factor on all times: 1 for those of the table, 0.1 for ten times as fast
 * @param reportLagMillis age of load reports in milliseconds
 * @param checksFencing whether an order with an old fencing number is refused
 * @param loadMillis time to load a version, in milliseconds
 * @param restartMillis time from a crash to the restart, in milliseconds
 */
public record EngineSettings(String id, String zone, Set<String> versions, int capacity, int queueLimit,
		int prefixLimit, double speed, long reportLagMillis, boolean checksFencing, long loadMillis,
		long restartMillis) {

	/** Runs that a batch holds when nothing else is set. */
	static final int CAPACITY = 16;

	/** A prompt with this text crashes the engine that runs it. */
	public static final String POISON = "sequoialink-poison";

	public EngineSettings {
		versions = Set.copyOf(versions);
	}

	/**
	 * Returns settings with the usual sizes.
	 * @param id the engine's name
	 * @param zone its availability zone
	 * @param versions the versions that are loaded at the start
	 * @param speed factor on all times
	 * @return the settings
	 */
	public static EngineSettings of(String id, String zone, Set<String> versions, double speed) {
		return of(id, zone, versions, speed, CAPACITY);
	}

	static EngineSettings of(String id, String zone, Set<String> versions, double speed, int capacity) {
		return new EngineSettings(id, zone, versions, capacity, 64, 500, speed, (long) (1000 * speed), true,
				(long) (3000 * speed), (long) (5000 * speed));
	}

}
