package io.sequoialink.remote;

/**
 * The platform's log service. Implementations are thread-safe.
 */
@FunctionalInterface
public interface PlatformLog {

	/** The stream that operators and hosts publish configuration and checkpoints on. */
	String CONFIG = "config";

	/** The stream of claims and their outcomes. */
	String CLAIMS = "claims";

	/** The stream of bills. */
	String BILLS = "bills";

	/** The stream of leases and orders to engines. */
	String LEASES = "leases";

	/**
	 * Returns a stream; it exists from its first append.
	 * @param name the stream's name
	 * @return the stream
	 */
	LogStream stream(String name);

}
