package io.sequoialink.gateway.crash;

import java.util.List;

/**
 * Crashes of backend servers that one host observed while they ran requests with one
 * fingerprint. Immutable.
 *
 * @param fingerprint request fingerprint: hash that is equal for repeated submissions of
 * the same request
 * @param crashes the crashes
 */
public record FingerprintCrashes(long fingerprint, List<Crash> crashes) {

	/**
	 * One crash. Immutable.
	 *
	 * @param server incarnation of the server
	 * @param counted whether the crash increased the number of crashes: the request was
	 * sent after the previously counted crash. If it was sent before, both crashes may be
	 * the same event
	 * @param sentAgeMillis time since the request was sent to the server, in milliseconds
	 * @param ageMillis time since the crash, in milliseconds
	 */
	public record Crash(String server, boolean counted, long sentAgeMillis, long ageMillis) {
	}

}
