package io.sequoialink.gateway.crash;

import java.util.List;

/**
 * Crash report of one host. Immutable.
 *
 * @param host name of the host
 * @param suspects the fingerprints that it suspects, with their crashes
 * @param cleared fingerprints that were suspected and have got a complete response since
 */
public record HostCrashReport(String host, List<FingerprintCrashes> suspects, List<Cleared> cleared) {

	/**
	 * A fingerprint that is no longer suspected. Immutable.
	 *
	 * @param fingerprint the fingerprint
	 * @param ageMillis time since its complete response, in milliseconds
	 */
	public record Cleared(long fingerprint, long ageMillis) {
	}

}
