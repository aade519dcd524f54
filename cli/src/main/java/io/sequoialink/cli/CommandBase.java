package io.sequoialink.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;

import io.sequoialink.model.Json;
import picocli.CommandLine;

/**
 * What all commands that speak to a fleet share. Confined to the main thread.
 */
abstract class CommandBase implements Callable<Integer> {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@CommandLine.Mixin
	private FleetOptions fleet;

	@Override
	public Integer call() throws Exception {
		try (AdminClient client = this.fleet.connect()) {
			int exitCode = run(client);
			out().flush();
			return exitCode;
		}
	}

	/**
	 * Runs the command.
	 * @param client the entry host
	 * @return the exit code
	 * @throws Exception if it could not be carried out
	 */
	abstract int run(AdminClient client) throws Exception;

	PrintWriter out() {
		return this.spec.commandLine().getOut();
	}

	boolean json() {
		return this.fleet.json();
	}

	int printJson(Object value) {
		out().println(Json.write(value));
		return ExitCodes.OK;
	}

	CommandLine.ParameterException invalid(String message) {
		return new CommandLine.ParameterException(this.spec.commandLine(), message);
	}

}
