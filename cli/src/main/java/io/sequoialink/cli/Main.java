package io.sequoialink.cli;

import io.sequoialink.daemon.settings.SettingsException;
import picocli.AutoComplete;
import picocli.CommandLine;

/**
 * Entry point of the command line program; holds all commands. Stateless.
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
	 * Runs one command and exits with its exit code.
	 * @param arguments the command line arguments
	 */
	public static void main(String[] arguments) {
		System.exit(commandLine().execute(arguments));
	}

	/**
	 * Creates the command line parser. Errors that an operator can cause are shown as
	 * messages without a stack trace and set the exit code.
	 * @return a new parser with all commands
	 */
	static CommandLine commandLine() {
		return new CommandLine(new Main()).setExecutionExceptionHandler(Main::handleException)
			.setUsageHelpWidth(USAGE_COLUMNS)
			.setUsageHelpAutoWidth(true);
	}

	private static int handleException(Exception ex, CommandLine command, CommandLine.ParseResult result)
			throws Exception {
		if (ex instanceof SettingsException invalidSettings) {
			invalidSettings.errors().forEach(command.getErr()::println);
			command.getErr().flush();
			return ExitCodes.INVALID;
		}
		if (ex instanceof AdminException failedCall) {
			command.getErr().println(failedCall.getMessage());
			command.getErr().flush();
			return failedCall.exitCode();
		}
		throw ex;
	}

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "Missing subcommand");
	}

}
