package io.sequoialink.gateway.crash;

import java.util.function.Consumer;

import io.sequoialink.gateway.feed.StoreReply;

/**
 * Writes what this host publishes of crashes. Calls return at once; replies arrive on the
 * event loop.
 */
@FunctionalInterface
public interface CrashRecords {

	/**
	 * Writes what this host saw; it replaces what the host wrote before.
	 * @param crashes what it saw
	 * @param reply receives the offset of the record
	 */
	void crashes(HostCrashes crashes, Consumer<StoreReply<Long>> reply);

}
