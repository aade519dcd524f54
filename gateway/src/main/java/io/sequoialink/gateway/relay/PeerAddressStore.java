package io.sequoialink.gateway.relay;

import java.util.function.Consumer;

import io.sequoialink.gateway.feed.StoreReply;

/** Writes the datagram addresses of hosts to the store. Called on the event loop. */
public interface PeerAddressStore {

	/**
	 * Writes an address, replacing the earlier address of the same host.
	 * @param self the host
	 * @param reply receives the offset of the written record, or the failure
	 */
	void writeAddress(Peer self, Consumer<StoreReply<Long>> reply);

	/**
	 * Deletes the address of a host that has not renewed it for a long time.
	 * @param host name of the host
	 */
	void deleteAddress(String host);

}
