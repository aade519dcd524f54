package io.sequoialink.daemon.settings;

import java.time.Duration;

/**
 * Bounds on what callers may send. Immutable and thread-safe.
 *
 * @param maxBody the largest body
 * @param maxHeaders the largest request head
 * @param bodyTimeout the longest time for a body to arrive
 * @param maxInFlight the most requests in progress at one time
 * @param maxAnswerTokens the most tokens that a caller may ask for
 * @param maxMessages the most messages of a conversation
 */
public record InputSettings(@Default("1MiB") @Within(min = "1KiB", max = "64MiB") ByteSize maxBody,
		@Default("16KiB") @Within(min = "1KiB", max = "256KiB") ByteSize maxHeaders,
		@Default("10s") @Within(min = "100ms", max = "5m") Duration bodyTimeout,
		@Default("512") @Within(min = "1", max = "100000") int maxInFlight,
		@Default("8192") @Within(min = "1", max = "1000000") int maxAnswerTokens,
		@Default("512") @Within(min = "1", max = "100000") int maxMessages) {
}
