package io.sequoialink.daemon.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on what callers may send. Immutable and thread-safe.
 *
 * @param maxBodyBytes the largest body
 * @param maxHeaderBytes the largest header section
 * @param bodyTimeout the longest time for a body to arrive
 * @param maxInFlight the most requests in progress at one time
 * @param maxAnswerTokens the most tokens that a caller may ask for
 * @param maxMessages the most messages of a conversation
 */
public record HttpLimits(int maxBodyBytes, int maxHeaderBytes, Duration bodyTimeout, int maxInFlight,
		int maxAnswerTokens, int maxMessages) {

	/** The bounds when the settings state none. */
	public static final HttpLimits DEFAULT = new HttpLimits(1 << 20, 16 << 10, Duration.ofSeconds(10), 512, 8192, 512);

	public HttpLimits {
		Objects.requireNonNull(bodyTimeout, "bodyTimeout");
		if (maxBodyBytes <= 0 || maxHeaderBytes <= 0 || maxInFlight <= 0 || maxAnswerTokens <= 0 || maxMessages <= 0) {
			throw new IllegalArgumentException("HTTP limits must be positive");
		}
	}

}
