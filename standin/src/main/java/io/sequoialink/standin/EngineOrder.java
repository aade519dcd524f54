package io.sequoialink.standin;

/**
 * JSON body of an administrative order to an engine. Immutable and thread-safe.
 *
 * @param fencing fencing token of the lease under which the sender acts; an engine can
 * reject an order whose token is older than the newest one it received
 * @param action what the engine is to do
 * @param target the version to load or unload, or the name of the new role
 */
public record EngineOrder(long fencing, Action action, String target) {

	/** Actions that an order can request. */
	public enum Action {

		/** Load the version named by the target. */
		LOAD,

		/** Unload the version named by the target. */
		UNLOAD,

		/** Change to the role named by the target. */
		ROLE

	}

}
