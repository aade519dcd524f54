package io.sequoialink.gateway.feed;

import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.fleet.StorePosition;

/**
 * Learns from the records of the platform's store which servers are cold. Called on the
 * event loop.
 */
public interface ColdStartListener {

	/** Does nothing. */
	ColdStartListener NONE = new ColdStartListener() {
		@Override
		public void registered(ServerEntry entry, StorePosition position) {
			// nothing is kept
		}

		@Override
		public void configured() {
			// nothing is kept
		}
	};

	/**
	 * Called when a server's registration has been read, possibly again.
	 * @param entry the registration
	 * @param position position of its record
	 */
	void registered(ServerEntry entry, StorePosition position);

	/**
	 * Called when another configuration has come into force.
	 */
	void configured();

}
