package io.sequoialink.gateway.feed;

import java.util.List;

/**
 * A stretch of a topic that one host has read for others. Immutable.
 *
 * @param topic name of the topic
 * @param from offset of the stretch's first record
 * @param next offset after its last record
 * @param changes its records that changed what their reader knows; the others tell
 * nothing to whoever knows the topic up to the first
 * @param whole whether all changes are there; if not, the stretch must be read from the
 * store
 */
public record SharedRead(String topic, long from, long next, List<KeyedRecord> changes, boolean whole) {
}
