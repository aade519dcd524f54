package io.sequoialink.bench;

/**
 * An experiment could not be carried out. Immutable.
 */
public class ExperimentException extends Exception {

	public ExperimentException(String message, Throwable cause) {
		super(message, cause);
	}

}
