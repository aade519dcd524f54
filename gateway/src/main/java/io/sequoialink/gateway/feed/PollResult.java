package io.sequoialink.gateway.feed;

import java.util.List;

/**
 * Result of polling a topic from an offset on. Immutable.
 *
 * @param records the records that could be parsed, in order
 * @param next offset after the last record that the store returned
 * @param end offset after the topic's last record
 * @param historyLost whether records after the requested offset have been deleted from
 * the history, so that some were missed
 */
public record PollResult(List<KeyedRecord> records, long next, long end, boolean historyLost) {
}
