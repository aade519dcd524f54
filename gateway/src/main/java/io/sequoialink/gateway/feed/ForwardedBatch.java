package io.sequoialink.gateway.feed;

import java.util.List;

/**
 * A contiguous range of a topic that one host has read and forwards to others. Immutable.
 *
 * @param topic name of the topic
 * @param era era of the store in which it was read
 * @param from offset of the range's first record
 * @param next offset after the range's last record
 * @param changedRecords the records of the range, without those that change nothing at a
 * host which has read the topic up to the first offset
 * @param complete whether all those records are included; if not, the receiver must read
 * the range from the store
 */
public record ForwardedBatch(String topic, long era, long from, long next, List<KeyedRecord> changedRecords,
		boolean complete) {
}
