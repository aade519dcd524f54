package io.sequoialink.remote;

/**
 * The log refused a call or could not be reached; the call had no effect. Immutable.
 */
public class LogUnavailableException extends PlatformException {

	public LogUnavailableException(String message) {
		super(message);
	}

	public LogUnavailableException(String message, Throwable cause) {
		super(message, cause);
	}

}
