package io.sequoialink.gateway.feed;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * A compacted topic of the platform's store, which retains at least the newest record of
 * each key. Calls do not block; replies are passed to the callback on the event loop.
 */
public interface KeyedTopic {

	/**
	 * Returns the topic's name, for log messages.
	 * @return the name
	 */
	String name();

	/**
	 * Returns the era of the store, which rises each time it returns from an older copy.
	 * A reply with records is always of the era that this method returns while the reply
	 * is passed on.
	 * @return the era that the store named last
	 */
	long era();

	/**
	 * Reads a page of the newest record of each key.
	 * @param after key after which the page begins, empty for the first page
	 * @param reply receives the page
	 */
	void readSnapshot(Optional<String> after, Consumer<StoreReply<SnapshotPage>> reply);

	/**
	 * Reads the records from an offset on; waits for one if there are none yet (long
	 * polling).
	 * @param from offset of the first record
	 * @param waitMillis how long the store may wait for a record, in milliseconds
	 * @param reply receives the records, none if no record arrived in time
	 */
	void poll(long from, int waitMillis, Consumer<StoreReply<PollResult>> reply);

	/**
	 * Aborts the calls that still wait for a reply of the store, because those made
	 * during an outage may never be answered; each fails with
	 * {@link StoreFailure.Kind#RENEWED} so that its caller repeats it.
	 */
	void abortWaitingCalls();

	/**
	 * Appends a record.
	 * @param key key of the record
	 * @param value its value
	 * @param at if present, the record is appended only if the topic ends at this offset
	 * @param reply receives the offset of the record
	 */
	void append(String key, byte[] value, OptionalLong at, Consumer<StoreReply<Long>> reply);

}
