package io.sequoialink.gateway.fleet;

/**
 * What a client may send and how long it may take. Immutable.
 *
 * @param headerBytes most bytes of a request's head
 * @param bodyBytes most bytes of a request's body
 * @param headerTimeoutMillis longest time from a head's first byte to its last, in
 * milliseconds
 * @param idleTimeoutMillis longest time without a request, in milliseconds
 */
public record ClientLimits(int headerBytes, int bodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

	/** Limits that hold until the first configuration is known. */
	public static final ClientLimits INITIAL = new ClientLimits(16384, 4194304, 3000, 15000);

}
