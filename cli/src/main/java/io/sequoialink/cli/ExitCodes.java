package io.sequoialink.cli;

/**
 * Exit codes of the operator commands. Stateless.
 */
final class ExitCodes {

	/** The command succeeded. */
	static final int OK = 0;

	/** The command failed, for example because no host responded. */
	static final int FAILED = 1;

	/**
	 * The command line, a file or a change is not accepted. If it is the command line or
	 * a file, nothing was done.
	 */
	static final int INVALID = 2;

	/** Another operator changed an object first; at least one change was not made. */
	static final int CONFLICT = 3;

	/** Heading of the list of exit codes in the help of a command. */
	static final String HELP_HEADING = "%nExit codes:%n";

	private ExitCodes() {
	}

}
