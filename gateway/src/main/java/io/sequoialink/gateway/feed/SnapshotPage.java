package io.sequoialink.gateway.feed;

import java.util.List;
import java.util.Optional;

/**
 * A page with the newest record of each key. Immutable.
 *
 * @param records the records
 * @param continueAfter key after which the next page begins, empty on the last page
 * @param end offset after the topic's last record
 */
public record SnapshotPage(List<KeyedRecord> records, Optional<String> continueAfter, long end) {
}
