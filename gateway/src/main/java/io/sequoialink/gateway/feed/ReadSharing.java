package io.sequoialink.gateway.feed;

/**
 * Lets hosts read the store for one another. Called on the event loop.
 */
public interface ReadSharing {

	/** Each host reads for itself. */
	ReadSharing NONE = new ReadSharing() {
		@Override
		public boolean anotherReads() {
			return false;
		}

		@Override
		public void read(SharedRead read) {
			// nobody is told
		}
	};

	/**
	 * Returns whether another host reads for this one at present.
	 * @return whether this host need not read
	 */
	boolean anotherReads();

	/**
	 * Notes what this host has read itself, for others.
	 * @param read what it read
	 */
	void read(SharedRead read);

}
