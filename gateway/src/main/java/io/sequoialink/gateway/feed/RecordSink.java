package io.sequoialink.gateway.feed;

/**
 * Receives the records that a {@link TopicFollower} reads. Called on the event loop.
 */
public interface RecordSink {

	/**
	 * Receives a record; the records of a key arrive in the order of their offsets.
	 * @param record the record
	 * @param path the way by which it came to this host
	 * @return whether it may have changed the state of this host; only such records are
	 * forwarded to other hosts
	 */
	boolean accept(KeyedRecord record, ReadPath path);

	/**
	 * Called when the topic has been read up to its current end.
	 * @param end offset after the last record
	 */
	void caughtUp(long end);

	/**
	 * Called when the store has returned from an older copy. Its records follow with the
	 * path {@link ReadPath#RETURNED_COPY}, and keys that it lacks as deleted; they may be
	 * older than what was read before, and what is missing may be written again soon.
	 */
	default void storeReturned() {
	}

	/**
	 * Called when the topic can be read again after an outage; the missed records follow.
	 */
	default void storeRecovered() {
	}

}
