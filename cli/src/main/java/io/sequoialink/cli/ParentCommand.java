package io.sequoialink.cli;

import picocli.CommandLine;

/**
 * A command that only holds others. Confined to the main thread.
 */
abstract class ParentCommand implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(),
				"Missing subcommand: use one of " + String.join(", ", this.spec.subcommands().keySet()));
	}

}
