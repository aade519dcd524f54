package io.sequoialink.gateway.relay;

import java.util.function.Consumer;

import io.sequoialink.gateway.feed.StoreReply;

/**
 * Writes where a host takes datagrams. Called on the event loop.
 */
public interface PeerRecords {

	/**
	 * Writes an address; it replaces what the host wrote before.
	 * @param self the host
	 * @param reply receives the offset of the record
	 */
	void announce(Peer self, Consumer<StoreReply<Long>> reply);

	/**
	 * Drops the address of a host that has not written it for long.
	 * @param host name of the host
	 */
	void drop(String host);

}
