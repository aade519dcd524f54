package io.sequoialink.cli;

/**
 * A call to an entry host failed. Immutable. The message is one line for the operator.
 */
class AdminException extends Exception {

	private final int exitCode;

	AdminException(int exitCode, String message, Throwable cause) {
		super(message, cause);
		this.exitCode = exitCode;
	}

	int exitCode() {
		return this.exitCode;
	}

}
