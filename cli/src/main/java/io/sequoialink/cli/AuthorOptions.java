package io.sequoialink.cli;

import io.sequoialink.model.Identifiers;
import picocli.CommandLine;

/**
 * Command line options that record in the change history who makes a change and why.
 * Confined to one thread.
 */
final class AuthorOptions {

	@CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
	private CommandLine.Model.CommandSpec spec;

	@CommandLine.Option(names = "--author", paramLabel = "NAME", defaultValue = "${env:USER:-operator}",
			description = "who makes the change, for the history (default: env USER)")
	private String author;

	@CommandLine.Option(names = "--reason", paramLabel = "TEXT", defaultValue = "",
			description = "why, for the history")
	private String reason;

	String author() {
		if (!Identifiers.valid(this.author)) {
			throw new CommandLine.ParameterException(this.spec.commandLine(), "Invalid value for option '--author': '"
					+ this.author + "': use 1 to 128 letters, digits, dots, dashes, colons or underscores");
		}
		return this.author;
	}

	String reason() {
		return this.reason;
	}

}
