package io.sequoialink.remote;

/**
 * A call to the platform or to a backend server did not give its result. Immutable.
 */
public class PlatformException extends Exception {

	public PlatformException(String message) {
		super(message);
	}

	public PlatformException(String message, Throwable cause) {
		super(message, cause);
	}

}
