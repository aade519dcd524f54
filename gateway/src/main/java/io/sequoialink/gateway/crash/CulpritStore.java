package io.sequoialink.gateway.crash;

import java.util.Set;
import java.util.function.Consumer;

import io.sequoialink.gateway.feed.StoreReply;

/**
 * Writes traits of requests that crash servers to the platform's store, where they last
 * until an operator deletes them. Calls do not block; replies are passed to the callback
 * on the event loop.
 */
public interface CulpritStore {

	/**
	 * Writes a culprit.
	 * @param culprit the culprit
	 * @param reply receives the offset of the record
	 */
	void write(CulpritRecord culprit, Consumer<StoreReply<Long>> reply);

	/**
	 * Deletes a culprit that a narrower one replaces.
	 * @param traits the traits
	 */
	void delete(Set<Long> traits);

}
