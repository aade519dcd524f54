package io.sequoialink.gateway.feed;

/**
 * How often a topic is read. Immutable.
 *
 * @param waitMillis how long the store may wait for a record, in milliseconds
 * @param cautiousMillis how long it may wait for a while after an outage, when it may not
 * answer every call, and while the topic is empty, in milliseconds
 * @param pauseMillis least time between the beginnings of two reads, in milliseconds
 * @param retryMillis pause after a failed call, in milliseconds; doubled after each more
 * @param longestRetryMillis longest pause after failed calls, in milliseconds
 * @param maxAgeMillis greatest age of what is known of the topic while another host
 * reads, in milliseconds
 */
public record FollowPace(int waitMillis, int cautiousMillis, int pauseMillis, int retryMillis, int longestRetryMillis,
		int maxAgeMillis) {
}
