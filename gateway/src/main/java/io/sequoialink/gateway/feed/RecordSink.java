package io.sequoialink.gateway.feed;

/**
 * Takes what a follower reads. Called on the event loop.
 */
public interface RecordSink {

	/**
	 * Takes a record; a key's records arrive in the order of their offsets.
	 * @param record the record
	 * @return whether it may have changed what the host knows
	 */
	boolean take(KeyedRecord record);

	/**
	 * The topic was read up to its end, as it is now.
	 * @param end offset after the last record
	 */
	void caughtUp(long end);

	/**
	 * The topic is read again after it could not be for a while; what was missed follows.
	 */
	default void returned() {
	}

}
