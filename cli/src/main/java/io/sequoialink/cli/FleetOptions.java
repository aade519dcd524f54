package io.sequoialink.cli;

import java.time.Duration;
import java.util.Optional;

import io.sequoialink.remote.HttpAddress;
import picocli.CommandLine;

/**
 * Command line options of the commands that call an entry host: which host, credentials,
 * output format and timeout. Confined to one thread.
 */
final class FleetOptions {

	@CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
	private CommandLine.Model.CommandSpec spec;

	@CommandLine.Option(names = "--host", paramLabel = "IP:PORT",
			defaultValue = "${env:SEQUOIALINK_HOST:-127.0.0.1:8101}",
			description = "any entry host; all give the same answers (env SEQUOIALINK_HOST, default: 127.0.0.1:8101)")
	private String host;

	@CommandLine.Option(names = "--key", paramLabel = "KEY", defaultValue = "${env:SEQUOIALINK_KEY}",
			description = "the operators' key, where the hosts ask for one (env SEQUOIALINK_KEY)")
	private String key;

	@CommandLine.Option(names = "--format", paramLabel = "FORMAT", defaultValue = "table",
			description = "${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
	private Format format;

	@CommandLine.Option(names = "--timeout", paramLabel = "SECONDS", defaultValue = "15",
			description = "longest wait for one answer (default: ${DEFAULT-VALUE})")
	private int timeoutSeconds;

	AdminClient connect() {
		try {
			return new AdminClient(HttpAddress.parse(this.host), Optional.ofNullable(this.key),
					Duration.ofSeconds(this.timeoutSeconds));
		}
		catch (IllegalArgumentException ex) {
			throw new CommandLine.ParameterException(this.spec.commandLine(),
					"Invalid value for option '--host': " + ex.getMessage(), ex);
		}
	}

	boolean json() {
		return this.format == Format.json;
	}

	/** Output format; the constants are spelled as the values of the option. */
	enum Format {

		/** Aligned columns for reading. */
		table,

		/** A single JSON value for programs. */
		json

	}

}
