package io.sequoialink.standin;

/**
 * An order to an engine. Immutable and thread-safe.
 *
 * @param fencing the fencing number of the lease under which it is given
 * @param action what to do
 * @param target the version to load or unload, or the new role
 */
public record EngineOrder(long fencing, Action action, String target) {

	/** What an engine can be ordered to do. */
	public enum Action {

		/** Load a version. */
		LOAD,

		/** Unload a version. */
		UNLOAD,

		/** Take another role. */
		ROLE

	}

}
