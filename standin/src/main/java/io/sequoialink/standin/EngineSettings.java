package io.sequoialink.standin;

import java.util.Set;

/**
 * Settings of one simulated engine. Immutable and thread-safe.
 *
 * @param id the engine's server identifier on the platform's list
 * @param zone the availability zone of the engine
 * @param versions the versions that are loaded when the engine starts
 * @param batchCapacity largest number of requests that run at the same time
 * @param maxQueued largest number of requests that wait for the batch
 * @param maxCachedPrefixes largest number of prompt prefixes in the cache
 * @param timeScale factor applied to the durations of the outcome table: 1 for the
 * table's own, 0.1 for ten times as fast
 * @param loadReportLagMillis how far load reports lag behind the load, in milliseconds
 * @param rejectsStaleFencing whether the engine rejects administrative commands whose
 * fencing token ({@link EngineOrder#fencing}) is lower than one it received before
 * @param versionLoadMillis time that loading a version takes, in milliseconds
 * @param restartDelayMillis time between a crash and the restart, in milliseconds
 */
public record EngineSettings(String id, String zone, Set<String> versions, int batchCapacity, int maxQueued,
		int maxCachedPrefixes, double timeScale, long loadReportLagMillis, boolean rejectsStaleFencing,
		long versionLoadMillis, long restartDelayMillis) {

	/** Largest number of requests that run at the same time by default. */
	static final int DEFAULT_BATCH_CAPACITY = 16;

	/** A prompt that contains this text crashes the engine that runs it. */
	public static final String CRASH_TRIGGER = "sequoialink-poison";

	public EngineSettings {
		versions = Set.copyOf(versions);
	}

	/**
	 * Returns settings with default sizes. All durations are scaled by the time scale;
	 * commands with an outdated fencing token are rejected.
	 * @param id the engine's server identifier
	 * @param zone the availability zone of the engine
	 * @param versions the versions that are loaded when the engine starts
	 * @param timeScale factor applied to all durations
	 * @return the settings
	 */
	public static EngineSettings of(String id, String zone, Set<String> versions, double timeScale) {
		return of(id, zone, versions, timeScale, DEFAULT_BATCH_CAPACITY);
	}

	static EngineSettings of(String id, String zone, Set<String> versions, double timeScale, int batchCapacity) {
		return new EngineSettings(id, zone, versions, batchCapacity, 64, 500, timeScale, (long) (1000 * timeScale),
				true, (long) (3000 * timeScale), (long) (5000 * timeScale));
	}

}
