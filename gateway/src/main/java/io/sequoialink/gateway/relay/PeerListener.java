package io.sequoialink.gateway.relay;

/**
 * Receives the datagram addresses of entry hosts that are read from the store. Called on
 * the event loop.
 */
public interface PeerListener {

	/** Ignores all addresses, for hosts that exchange no datagrams. */
	PeerListener NONE = new PeerListener() {
		@Override
		public void onPeer(Peer peer, long ageMillis) {
			// addresses are not used
		}

		@Override
		public void onPeerDeleted(String host) {
			// addresses are not used
		}
	};

	/**
	 * Called for each address that was read.
	 * @param peer the host
	 * @param ageMillis time since the host wrote the address, in milliseconds
	 */
	void onPeer(Peer peer, long ageMillis);

	/**
	 * Called when a host's address was deleted from the store.
	 * @param host name of the host
	 */
	void onPeerDeleted(String host);

	/**
	 * Called when the store has lost a host's address, which may still be right.
	 * @param host name of the host
	 */
	default void onPeerLost(String host) {
	}

}
