package io.sequoialink.gateway.relay;

/**
 * Takes what is read of entry hosts. Called on the event loop.
 */
public interface PeerDirectory {

	/** Takes nothing, for hosts that read for themselves alone. */
	PeerDirectory NONE = new PeerDirectory() {
		@Override
		public void peer(Peer peer, long ageMillis) {
			// not needed
		}

		@Override
		public void gone(String host) {
			// not needed
		}
	};

	/**
	 * Takes the address of a host.
	 * @param peer the host
	 * @param ageMillis time since the host wrote it, in milliseconds
	 */
	void peer(Peer peer, long ageMillis);

	/**
	 * Notes that a host's address was dropped.
	 * @param host name of the host
	 */
	void gone(String host);

}
