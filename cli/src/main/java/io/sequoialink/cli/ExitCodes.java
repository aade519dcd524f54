package io.sequoialink.cli;

/**
 * The exit codes of all commands. Stateless.
 */
final class ExitCodes {

	/** Everything was done. */
	static final int OK = 0;

	/** The command could not be carried out. */
	static final int FAILED = 1;

	/** The command line or a file is not accepted; nothing was done. */
	static final int INVALID = 2;

	/** Another operator's change came first; at least one change was not made. */
	static final int CONFLICT = 3;

	/** The lines on exit codes in the help of each command. */
	static final String HELP_HEADING = "%nExit codes:%n";

	private ExitCodes() {
	}

}
