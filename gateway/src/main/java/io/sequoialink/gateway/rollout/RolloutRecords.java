package io.sequoialink.gateway.rollout;

import java.util.OptionalLong;
import java.util.function.Consumer;

import io.sequoialink.gateway.feed.StoreReply;
import io.sequoialink.gateway.fleet.RolloutStatus;

/**
 * Writes what hosts publish of roll-outs. Calls return at once; replies arrive on the
 * event loop.
 */
public interface RolloutRecords {

	/**
	 * Writes the state of a roll-out.
	 * @param status the state
	 * @param at nothing is written unless the topic ends at this offset
	 * @param reply receives the offset of the record
	 */
	void status(RolloutStatus status, OptionalLong at, Consumer<StoreReply<Long>> reply);

	/**
	 * Writes what this host saw.
	 * @param evidence the evidence
	 * @param reply receives the offset of the record
	 */
	void evidence(HostEvidence evidence, Consumer<StoreReply<Long>> reply);

	/**
	 * Reads at once what was published, instead of after the pause between two reads.
	 */
	void readNow();

}
