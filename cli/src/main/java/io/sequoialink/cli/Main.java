package io.sequoialink.cli;

import picocli.CommandLine;

/**
 * Entry point of the command line. Stateless.
 */
@CommandLine.Command(name = "sequoialink", mixinStandardHelpOptions = true, version = "sequoialink 0.1.0",
		description = "Model-aware router for model versions and cascades.",
		subcommands = { ServeCommand.class, DemoCommand.class, StandinsCommand.class, BenchCommand.class })
public final class Main implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	private Main() {
	}

	/**
	 * Runs the command line.
	 * @param arguments the arguments
	 */
	public static void main(String[] arguments) {
		System.exit(new CommandLine(new Main()).execute(arguments));
	}

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "Missing subcommand");
	}

}
