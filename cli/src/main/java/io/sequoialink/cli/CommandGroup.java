package io.sequoialink.cli;

import picocli.CommandLine;

/**
 * Base of the commands that only group subcommands. Called without a subcommand, it fails
 * and lists them. Confined to the main thread.
 */
abstract class CommandGroup implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(),
				"Missing subcommand: use one of " + String.join(", ", this.spec.subcommands().keySet()));
	}

}
