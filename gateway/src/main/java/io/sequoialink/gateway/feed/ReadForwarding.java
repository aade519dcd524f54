package io.sequoialink.gateway.feed;

/**
 * Lets one host read the store and forward the records to the others. Called on the event
 * loop.
 */
public interface ReadForwarding {

	/** Nothing is forwarded: each host reads the store itself. */
	ReadForwarding NONE = new ReadForwarding() {
		@Override
		public boolean anotherHostReads() {
			return false;
		}

		@Override
		public void forward(ForwardedBatch batch) {
			// no hosts to forward to
		}
	};

	/**
	 * Returns whether another host currently forwards its reads to this one.
	 * @return whether this host need not read the store
	 */
	boolean anotherHostReads();

	/**
	 * Forwards records that this host has read from the store to other hosts.
	 * @param batch the records
	 */
	void forward(ForwardedBatch batch);

}
