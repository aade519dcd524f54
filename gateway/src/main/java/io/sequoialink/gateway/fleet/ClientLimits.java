package io.sequoialink.gateway.fleet;

/**
 * Size and time limits for clients. Immutable.
 *
 * @param headerBytes maximum size of a request's header section in bytes
 * @param bodyBytes maximum size of a request's body in bytes
 * @param headerTimeoutMillis maximum time from the first to the last byte of a header
 * section, in milliseconds
 * @param idleTimeoutMillis time after which a connection without a request is closed, in
 * milliseconds
 */
public record ClientLimits(int headerBytes, int bodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

	/** Limits that apply until the first configuration has been read. */
	public static final ClientLimits INITIAL = new ClientLimits(16384, 4194304, 3000, 15000);

}
