package io.sequoialink.standin;

/**
 * JSON body of an administrative command to an engine. Immutable and thread-safe.
 *
 * @param fencing fencing token: number of the lease under which the sender may send
 * commands, which grows with each new lease; an engine can reject a command with a lower
 * number than the highest one it received, since the sender's lease has been replaced
 * @param action what the engine is to do
 * @param target the version to load or unload, or the name of the new role
 */
public record EngineOrder(long fencing, Action action, String target) {

	/** Actions that a command can request. */
	public enum Action {

		/** Load the version named by the target. */
		LOAD,

		/** Unload the version named by the target. */
		UNLOAD,

		/** Change to the role named by the target. */
		ROLE

	}

}
