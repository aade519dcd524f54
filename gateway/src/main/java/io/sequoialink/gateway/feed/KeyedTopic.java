package io.sequoialink.gateway.feed;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * A topic of the platform's store that keeps the newest record of each key. Calls return
 * at once; replies arrive on the event loop.
 */
public interface KeyedTopic {

	/**
	 * Returns the topic's name, for logs.
	 * @return the name
	 */
	String name();

	/**
	 * Reads a page of the newest records.
	 * @param after key after which the page begins, empty for the first page
	 * @param reply receives the page
	 */
	void newest(Optional<String> after, Consumer<StoreReply<NewestPage>> reply);

	/**
	 * Reads records as soon as there are any.
	 * @param from offset of the first record wanted
	 * @param waitMillis how long the store may wait for a record
	 * @param reply receives the records, none if there were none in time
	 */
	void read(long from, int waitMillis, Consumer<StoreReply<Tail>> reply);

	/**
	 * Gives up the calls to the store that wait for an answer, since they may have been
	 * made while it answered nothing; each ends as renewed.
	 */
	void renewWaiting();

	/**
	 * Appends a record.
	 * @param key key of the record
	 * @param value its value
	 * @param at if present, nothing is appended unless the topic ends at this offset
	 * @param reply receives the record's offset
	 */
	void append(String key, byte[] value, OptionalLong at, Consumer<StoreReply<Long>> reply);

}
