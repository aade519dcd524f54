package io.sequoialink.gateway.feed;

import java.util.List;

/**
 * Records read from an offset on. Immutable.
 *
 * @param records the records in order that could be read
 * @param next offset after the last record that was returned
 * @param end offset after the topic's last record
 * @param lost whether the history before the topic's first record is gone, so that
 * records were missed
 */
public record Tail(List<KeyedRecord> records, long next, long end, boolean lost) {
}
