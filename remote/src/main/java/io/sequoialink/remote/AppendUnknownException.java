package io.sequoialink.remote;

/**
 * No answer to an append arrived; it may have taken effect. The log must be read to
 * settle it. Immutable.
 */
public class AppendUnknownException extends PlatformException {

	public AppendUnknownException(String message) {
		super(message);
	}

	public AppendUnknownException(String message, Throwable cause) {
		super(message, cause);
	}

}
