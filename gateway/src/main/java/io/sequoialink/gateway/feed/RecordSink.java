package io.sequoialink.gateway.feed;

/**
 * Takes what a follower reads. Called on the event loop.
 */
public interface RecordSink {

	/**
	 * Takes a record; a key's records arrive in the order of their offsets.
	 * @param record the record
	 */
	void take(KeyedRecord record);

	/**
	 * The topic was read whole, up to now.
	 */
	void caughtUp();

}
