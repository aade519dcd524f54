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
		if (crashesToBrake < 2 || suspicionMillis <= 0 || trialMillis <= 0 || maxSuspects <= 0) {
			throw new IllegalArgumentException(
					"crash settings are out of their ranges: " + crashesToBrake + " crashes, suspicion "
							+ suspicionMillis + " ms, trial " + trialMillis + " ms, " + maxSuspects + " suspects");
		}
	}

	/**
	 * Returns the default parameters.
	 * @return the defaults
	 */
	public static CrashSettings defaults() {
		return new CrashSettings(2, 600_000, 60_000, 10_000);
	}

}
