package io.sequoialink.remote;

/**
 * The caller closed its connection before its answer was whole. Immutable.
 */
public class CallerGoneException extends PlatformException {

	public CallerGoneException(String message) {
		super(message);
	}

	public CallerGoneException(String message, Throwable cause) {
		super(message, cause);
	}

}
