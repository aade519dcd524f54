package io.sequoialink.decision.crash;

/**
 * Parameters of the crash guard. Immutable and thread-safe; every value is positive.
 *
 * @param crashesToBlock number of crashes after which a fingerprint is blocked: the one
 * that made it suspect, and those in trials, in which it runs on a server without other
 * requests
 * @param suspicionMillis time for which a fingerprint stays suspect without another
 * crash, in milliseconds
 * @param trialMillis time after which an unfinished trial no longer prevents the next
 * one, in milliseconds
 * @param maxSuspects limit of suspects per host; the oldest are removed first
 */
public record CrashSettings(int crashesToBlock, long suspicionMillis, long trialMillis, int maxSuspects) {

	public CrashSettings {
		if (crashesToBlock < 2 || suspicionMillis <= 0 || trialMillis <= 0 || maxSuspects <= 0) {
			throw new IllegalArgumentException(
					"crash settings are out of their ranges: " + crashesToBlock + " crashes, suspicion "
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
