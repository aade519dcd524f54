package io.sequoialink.gateway.relay;

/**
 * Receives the datagram addresses of entry hosts that are read from the store. Called on
 * the event loop.
 */
public interface PeerDirectory {

	/** Ignores all addresses, for hosts that exchange no datagrams. */
	PeerDirectory NONE = new PeerDirectory() {
		@Override
		public void peer(Peer peer, long ageMillis) {
			// addresses are not used
		}

		@Override
		public void gone(String host) {
			// addresses are not used
		}
	};

	/**
	 * Called for each address that was read.
	 * @param peer the host
	 * @param ageMillis time since the host wrote the address, in milliseconds
	 */
	void peer(Peer peer, long ageMillis);

	/**
	 * Called when a host's address was deleted from the store.
	 * @param host name of the host
	 */
	void gone(String host);

}
