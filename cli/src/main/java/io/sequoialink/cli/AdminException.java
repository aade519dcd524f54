package io.sequoialink.cli;

/**
 * Reports that a call to an entry host failed. Immutable. The message is a single line to
 * show to the operator; the exit code is one of {@link ExitCodes}.
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
