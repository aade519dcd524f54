package io.sequoialink.gateway.rollout;

import java.util.OptionalLong;
import java.util.function.Consumer;

import io.sequoialink.gateway.feed.StoreReply;
import io.sequoialink.gateway.fleet.RolloutStatus;

/**
 * Writes the records of roll-outs to the platform's store. Calls do not block; replies
 * arrive on the event loop.
 */
public interface RolloutStore {

	/**
	 * Writes the state of a roll-out.
	 * @param status the state
	 * @param at expected end offset of the topic; nothing is written if the topic ends
	 * elsewhere. Empty writes unconditionally
	 * @param reply receives the offset of the written record, or the failure
	 */
	void writeStatus(RolloutStatus status, OptionalLong at, Consumer<StoreReply<Long>> reply);

	/**
	 * Writes this host's report.
	 * @param report the report
	 * @param reply receives the offset of the written record, or the failure
	 */
	void writeReport(HostRolloutReport report, Consumer<StoreReply<Long>> reply);

	/**
	 * Reads the published records immediately instead of waiting for the next regular
	 * read.
	 */
	void readNow();

}
