package io.sequoialink.remote;

/**
 * The rating service gave no answer. Immutable.
 */
public class RatingUnavailableException extends PlatformException {

	public RatingUnavailableException(String message) {
		super(message);
	}

	public RatingUnavailableException(String message, Throwable cause) {
		super(message, cause);
	}

}
