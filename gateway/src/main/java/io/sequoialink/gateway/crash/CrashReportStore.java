package io.sequoialink.gateway.crash;

import java.util.function.Consumer;

import io.sequoialink.gateway.feed.StoreReply;

/**
 * Writes this host's crash report to the platform's store. Calls do not block; replies
 * are passed to the callback on the event loop.
 */
@FunctionalInterface
public interface CrashReportStore {

	/**
	 * Writes the report; it replaces the previous one of this host.
	 * @param crashes the report
	 * @param reply receives the offset of the record
	 */
	void write(HostCrashReport crashes, Consumer<StoreReply<Long>> reply);

}
