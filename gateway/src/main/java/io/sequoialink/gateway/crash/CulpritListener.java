package io.sequoialink.gateway.crash;

import java.util.Set;

/**
 * Receives the traits of requests that crash servers, as read from the platform's store.
 * Called on the event loop.
 */
public interface CulpritListener {

	/** A listener that ignores all records. */
	CulpritListener NONE = new CulpritListener() {
		@Override
		public void culpritRead(CulpritRecord culprit) {
			// ignored
		}

		@Override
		public void culpritDeleted(Set<Long> traits) {
			// ignored
		}
	};

	/**
	 * Called for each record that was read.
	 * @param culprit the culprit
	 */
	void culpritRead(CulpritRecord culprit);

	/**
	 * Called when an operator has deleted a record.
	 * @param traits the traits
	 */
	void culpritDeleted(Set<Long> traits);

	/**
	 * Called when the store has returned from an older copy, before its records are read
	 * again; it may have lost some, and have others again that were deleted.
	 */
	default void storeReturned() {
	}

}
