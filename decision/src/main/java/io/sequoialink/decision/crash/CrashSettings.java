package io.sequoialink.decision.crash;

/**
 * Parameters of the crash guard. Immutable and thread-safe; every value is positive.
 *
 * @param crashesToBrake crashes of servers during sole trials, the first suspicion
 * included, after which a fingerprint is braked
 * @param suspicionMillis how long a fingerprint stays suspect without another crash, in
 * milliseconds
 * @param trialMillis how long a trial may take before another may begin, in milliseconds
 * @param maxSuspects the most suspects that a host keeps; the oldest go first
 */
public record CrashSettings(int crashesToBrake, long suspicionMillis, long trialMillis, int maxSuspects) {

	public CrashSettings {
		require(crashesToBrake >= 2, "crashesToBrake", crashesToBrake, "at least 2 crashes");
		require(suspicionMillis > 0, "suspicionMillis", suspicionMillis, "above 0 ms");
		require(trialMillis > 0, "trialMillis", trialMillis, "above 0 ms");
		require(maxSuspects > 0, "maxSuspects", maxSuspects, "at least 1 fingerprint");
	}

	/**
	 * Returns the default parameters.
	 * @return the defaults
	 */
	public static CrashSettings defaults() {
		return new CrashSettings(2, 600_000, 60_000, 10_000);
	}

	private static void require(boolean holds, String name, long value, String accepted) {
		if (!holds) {
			throw new IllegalArgumentException("crash." + name + " is " + value + ": use " + accepted);
		}
	}

}
