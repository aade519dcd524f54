package io.sequoialink.catalogue;

/**
 * A record of the configuration stream that no host can fold. Immutable.
 */
public class MalformedRecordException extends Exception {

	public MalformedRecordException(String message) {
		super(message);
	}

}
