package io.sequoialink.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import io.sequoialink.daemon.settings.CatalogueFile;
import io.sequoialink.daemon.settings.SettingsException;
import io.sequoialink.daemon.settings.SettingsFile;
import io.sequoialink.model.CatalogueView;
import picocli.CommandLine;

/**
 * Groups the commands on settings files that need no connection to a fleet. Confined to
 * the main thread.
 */
@CommandLine.Command(name = "settings", mixinStandardHelpOptions = true,
		description = "Checks settings and lists defaults; needs no fleet.",
		subcommands = { SettingsCommand.Check.class, SettingsCommand.Defaults.class })
final class SettingsCommand extends CommandGroup {

	/**
	 * Validates settings files of hosts and files of configuration objects. Confined to
	 * the main thread.
	 */
	@CommandLine.Command(name = "check", mixinStandardHelpOptions = true,
			description = "Checks files as a whole: a host's settings, or configuration objects.",
			exitCodeListHeading = ExitCodes.HELP_HEADING,
			exitCodeList = { "0:all files are accepted", "2:a file is not accepted; all its errors are shown" },
			footer = { "", "Examples:", "  sequoialink settings check examples/magnolia/host-1.yaml",
					"  sequoialink settings check examples/magnolia/*.yaml" })
	static final class Check implements Callable<Integer> {

		@CommandLine.Spec
		private CommandLine.Model.CommandSpec spec;

		@CommandLine.Parameters(arity = "1..*", paramLabel = "FILE", description = "YAML files")
		private List<Path> files;

		@Override
		public Integer call() {
			PrintWriter out = this.spec.commandLine().getOut();
			int exitCode = ExitCodes.OK;
			for (Path file : this.files) {
				try {
					out.println(file + ": " + check(file));
				}
				catch (SettingsException ex) {
					ex.errors().forEach(this.spec.commandLine().getErr()::println);
					exitCode = ExitCodes.INVALID;
				}
			}
			out.flush();
			this.spec.commandLine().getErr().flush();
			return exitCode;
		}

		private static String check(Path file) throws SettingsException {
			if (CatalogueFile.isOne(file)) {
				return "accepted, " + CatalogueFile.read(file, CatalogueView.empty()).size() + " objects";
			}
			return "accepted, settings of host " + SettingsFile.read(file).host().id();
		}

	}

	/**
	 * Prints the policy parameters with their default values. Confined to the main
	 * thread.
	 */
	@CommandLine.Command(name = "defaults", mixinStandardHelpOptions = true,
			description = "Lists the policy parameters with their defaults, as YAML.",
			footer = { "", "Example:", "  sequoialink settings defaults" })
	static final class Defaults implements Runnable {

		@CommandLine.Spec
		private CommandLine.Model.CommandSpec spec;

		@Override
		public void run() {
			PrintWriter out = this.spec.commandLine().getOut();
			out.println("policy:");
			SettingsFile.policyDefaults().forEach((group, keys) -> {
				out.println("  " + group + ":");
				keys.forEach((key, value) -> out.println("    " + key + ": " + value));
			});
			out.flush();
		}

	}

}
