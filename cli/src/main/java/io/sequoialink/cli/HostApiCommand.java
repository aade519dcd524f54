package io.sequoialink.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;

import io.sequoialink.model.Json;
import picocli.CommandLine;

/**
 * Base of the commands that call the operator API of an entry host. Opens the connection,
 * runs the command and flushes its output. Confined to the main thread.
 */
abstract class HostApiCommand implements Callable<Integer> {

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
	 * @param client a client of the entry host, closed by the caller
	 * @return the exit code, one of {@link ExitCodes}
	 * @throws Exception if the command fails; {@link Main} shows an
	 * {@link AdminException} as a message and takes the exit code from it
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
