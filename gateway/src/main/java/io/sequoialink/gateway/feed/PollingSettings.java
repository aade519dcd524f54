package io.sequoialink.gateway.feed;

/**
 * How often a topic is polled. Immutable.
 *
 * @param pollTimeoutMillis how long the store may hold a poll until a record arrives
 * (long polling), in milliseconds
 * @param shortPollTimeoutMillis shorter limit, used for some time after an outage, when
 * the store may leave calls unanswered, and while the topic is empty, in milliseconds
 * @param minIntervalMillis least time between the starts of two polls, in milliseconds
 * @param firstRetryMillis delay after a failed call, in milliseconds; doubled after each
 * further failure
 * @param maxRetryMillis longest delay after failed calls, in milliseconds
 * @param maxAgeMillis while another host forwards its reads to this one: age of the last
 * successful poll or forwarded batch from which this host polls the store itself, in
 * milliseconds
 */
public record PollingSettings(int pollTimeoutMillis, int shortPollTimeoutMillis, int minIntervalMillis,
		int firstRetryMillis, int maxRetryMillis, int maxAgeMillis) {
}
