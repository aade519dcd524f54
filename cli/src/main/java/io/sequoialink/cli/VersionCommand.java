package io.sequoialink.cli;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.model.Selector;
import picocli.CommandLine;

/**
 * Groups the commands on model versions. Confined to the main thread.
 */
@CommandLine.Command(name = "version", mixinStandardHelpOptions = true, description = "Withdraws model versions.",
		subcommands = VersionCommand.Withdraw.class)
final class VersionCommand extends CommandGroup {

	/**
	 * Withdraws all versions matching a selector and prints which hosts have confirmed
	 * it. Confined to the main thread.
	 */
	@CommandLine.Command(name = "withdraw", mixinStandardHelpOptions = true,
			description = { "Withdraws every version whose labels match: it receives no new work.",
					"Shows where that is in force and which hosts have not confirmed it yet." },
			exitCodeListHeading = ExitCodes.HELP_HEADING,
			exitCodeList = { "0:withdrawn, and all hosts have confirmed it",
					"1:not withdrawn, or some hosts have not confirmed it yet", "2:the selector is not accepted" },
			footer = { "", "Examples:",
					"  sequoialink version withdraw --selector 'family=caption, line=candidate' --reason 'poor ratings'" })
	static final class Withdraw extends HostApiCommand {

		@CommandLine.Mixin
		private AuthorOptions authorOptions;

		@CommandLine.Option(names = "--selector", required = true, converter = SelectorConverter.class,
				description = "which versions, by their labels")
		private Selector selector;

		@Override
		int run(AdminClient client) throws Exception {
			if (this.selector.text().isEmpty()) {
				throw invalid("Invalid value for option '--selector': an empty selector would withdraw every version");
			}
			JsonNode report = client.post("/admin/withdraw", Map.of("selector", this.selector, "author",
					this.authorOptions.author(), "reason", this.authorOptions.reason()));
			if (json()) {
				printJson(report);
			}
			else {
				print(report);
			}
			boolean allConfirmed = report.path("versions").size() > 0 && report.path("notConfirmed").isEmpty();
			return allConfirmed ? ExitCodes.OK : ExitCodes.FAILED;
		}

		private void print(JsonNode report) {
			int confirmed = report.path("inForce").size();
			int unconfirmed = report.path("notConfirmed").size();
			if (report.path("versions").isEmpty()) {
				out().println("No version matches '" + this.selector + "': nothing was withdrawn.");
				return;
			}
			out().println("Withdrawn:     " + join(report.path("versions")));
			out().println("Accepted at:   offset " + report.path("offset").asLong());
			out().println("In force:      on " + confirmed + " of " + (confirmed + unconfirmed) + " hosts");
			if (unconfirmed > 0) {
				out().println("Not confirmed: " + join(report.path("notConfirmed")));
			}
		}

		private static String join(JsonNode list) {
			StringBuilder text = new StringBuilder();
			list.forEach((item) -> text.append((text.length() > 0) ? ", " : "").append(item.asText()));
			return text.toString();
		}

	}

}
