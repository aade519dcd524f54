package io.sequoialink.gateway.feed;

import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Buffer for forwarded batches of a topic that arrived before the batches which precede
 * them. Confined to the event loop.
 */
final class OutOfOrderBatches {

	/** Limit of buffered batches. */
	private static final int MAX_BATCHES = 64;

	private final NavigableMap<Long, ForwardedBatch> batches = new TreeMap<>();

	/**
	 * Buffers a batch.
	 * @param batch the batch
	 * @return false if the limit is exceeded
	 */
	boolean add(ForwardedBatch batch) {
		this.batches.put(batch.from(), batch);
		return this.batches.size() <= MAX_BATCHES;
	}

	/**
	 * Removes and returns the first batch that continues at an offset, and discards
	 * batches that contain nothing new.
	 * @param next offset up to which this host has read the topic
	 * @return the batch, if there is one
	 */
	Optional<ForwardedBatch> takeNext(long next) {
		while (!this.batches.isEmpty() && this.batches.firstKey() <= next) {
			ForwardedBatch first = this.batches.pollFirstEntry().getValue();
			if (first.next() > next) {
				return Optional.of(first);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the offset after the last buffered record.
	 * @return the offset, -1 if nothing is buffered
	 */
	long end() {
		return this.batches.values().stream().mapToLong(ForwardedBatch::next).max().orElse(-1);
	}

	boolean isEmpty() {
		return this.batches.isEmpty();
	}

	void clear() {
		this.batches.clear();
	}

}
