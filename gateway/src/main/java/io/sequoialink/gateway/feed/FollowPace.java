package io.sequoialink.gateway.feed;

/**
 * How often a topic is read. Immutable.
 *
 * @param waitMillis how long the store may wait for a record, in milliseconds
 * @param pauseMillis pause between two reads, in milliseconds
 * @param retryMillis pause after a failed call, in milliseconds
 */
public record FollowPace(int waitMillis, int pauseMillis, int retryMillis) {
}
