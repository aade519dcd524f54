package io.sequoialink.cli;

import io.sequoialink.daemon.settings.SettingsException;
import picocli.AutoComplete;
import picocli.CommandLine;

/**
 * Entry point of the command line. Stateless.
 */
@CommandLine.Command(name = "sequoialink", mixinStandardHelpOptions = true, version = "sequoialink 0.1.0",
		description = "Model-aware router for model versions and cascades.",
		footerHeading = "%nExit codes: 0 done, 1 failed, 2 not accepted, 3 conflict with another operator.%n",
		subcommands = { ServeCommand.class, DemoCommand.class, SettingsCommand.class, ConfigCommand.class,
				VersionCommand.class, RolloutCommand.class, HostCommand.class, ExplainCommand.class, BillsCommand.class,
				StandinsCommand.class, BenchCommand.class, AutoComplete.GenerateCompletion.class })
public final class Main implements Runnable {

	private static final int USAGE_COLUMNS = 100;

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	private Main() {
	}

	/**
	 * Runs the command line.
	 * @param arguments the arguments
	 */
	public static void main(String[] arguments) {
		System.exit(commandLine().execute(arguments));
	}

	/**
	 * Returns the command line with its error handling: a message of one line and an exit
	 * code, without a stack trace for what an operator can cause.
	 * @return a new command line
	 */
	static CommandLine commandLine() {
		return new CommandLine(new Main()).setExecutionExceptionHandler(Main::handle)
			.setUsageHelpWidth(USAGE_COLUMNS)
			.setUsageHelpAutoWidth(true);
	}

	private static int handle(Exception ex, CommandLine command, CommandLine.ParseResult result) throws Exception {
		if (ex instanceof SettingsException refused) {
			refused.errors().forEach(command.getErr()::println);
			command.getErr().flush();
			return ExitCodes.INVALID;
		}
		if (ex instanceof AdminException failed) {
			command.getErr().println(failed.getMessage());
			command.getErr().flush();
			return failed.exitCode();
		}
		throw ex;
	}

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "Missing subcommand");
	}

}
