package io.sequoialink.gateway.feed;

/**
 * Lets one host read the store and forward the records to the others. Called on the event
 * loop.
 */
public interface ReadSharing {

	/** Nothing is forwarded: each host reads the store itself. */
	ReadSharing NONE = new ReadSharing() {
		@Override
		public boolean anotherReads() {
			return false;
		}

		@Override
		public void read(SharedRead batch) {
			// no hosts to forward to
		}
	};

	/**
	 * Returns whether another host currently forwards its reads to this one.
	 * @return whether this host need not read the store
	 */
	boolean anotherReads();

	/**
	 * Forwards records that this host has read from the store to other hosts.
	 * @param batch the records
	 */
	void read(SharedRead batch);

}
