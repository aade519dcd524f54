package io.sequoialink.gateway.path;

import java.util.Optional;

/**
 * Answer of a host that was asked to open a connection to a server for another one.
 */
enum TunnelAnswer {

	/** The connection is open. */
	CONNECTED,

	/** The server refused the connection; the asked host reaches others. */
	REFUSED,

	/** The server did not answer in time. */
	SILENT,

	/** The asked host reaches no server of the service either. */
	CUT_OFF,

	/**
	 * The asked host knows no such server, or knows that it gets no further connections.
	 */
	UNKNOWN_SERVER,

	/** The asked host opens no further connections for others. */
	BUSY,

	/**
	 * The server refused the connection, and the asked host reaches no others: it may be
	 * cut off, or several servers have ended.
	 */
	UNDECIDED;

	private static final TunnelAnswer[] ALL = values();

	/**
	 * Returns the number by which the answer is sent.
	 * @return the number
	 */
	byte code() {
		return (byte) ordinal();
	}

	/**
	 * Returns the answer with a number.
	 * @param code the number
	 * @return the answer, empty if the number is unknown
	 */
	static Optional<TunnelAnswer> of(int code) {
		return (code >= 0 && code < ALL.length) ? Optional.of(ALL[code]) : Optional.empty();
	}

}
