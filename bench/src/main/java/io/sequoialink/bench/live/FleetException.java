package io.sequoialink.bench.live;

/**
 * The fleet of an experiment could not be started or did not become ready. Immutable.
 */
public class FleetException extends Exception {

	public FleetException(String message, Throwable cause) {
		super(message, cause);
	}

}
