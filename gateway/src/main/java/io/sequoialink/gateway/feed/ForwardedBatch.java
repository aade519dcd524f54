package io.sequoialink.gateway.feed;

import java.util.List;

/**
 * A contiguous range of a topic that one host has read and forwards to others. Immutable.
 *
 * @param topic name of the topic
 * @param from offset of the range's first record
 * @param next offset after the range's last record
 * @param changedRecords the records of the range that changed the state of the reader
 * host; the other records change nothing at a host that has read the topic up to the
 * first offset
 * @param complete whether all those records are included; if not, the receiver must read
 * the range from the store
 */
public record ForwardedBatch(String topic, long from, long next, List<KeyedRecord> changedRecords, boolean complete) {
}
