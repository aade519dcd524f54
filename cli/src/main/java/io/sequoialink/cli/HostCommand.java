package io.sequoialink.cli;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine;

/**
 * Groups the commands that show entry hosts. Confined to the main thread.
 */
@CommandLine.Command(name = "host", mixinStandardHelpOptions = true, description = "Shows entry hosts.",
		subcommands = HostCommand.Listing.class)
final class HostCommand extends CommandGroup {

	/**
	 * Lists the members of the fleet as one host sees them. Confined to the main thread.
	 */
	@CommandLine.Command(name = "list", mixinStandardHelpOptions = true,
			description = "Lists the entry hosts as one of them sees the fleet.", footer = { "", "Examples:",
					"  sequoialink host list", "  sequoialink host list --host 10.0.0.2:8101 --format json" })
	static final class Listing extends HostApiCommand {

		@Override
		int run(AdminClient client) throws Exception {
			JsonNode members = client.get("/admin/members");
			if (json()) {
				return printJson(members);
			}
			Table table = new Table("HOST", "ZONE", "STATE", "REVISION", "PEER ADDRESS");
			members.forEach((member) -> table.row(member.path("host").asText(), member.path("zone").asText(),
					member.path("state").asText().toLowerCase(Locale.ROOT), member.path("viewRevision").asLong(),
					member.path("ip").asText() + ":" + member.path("port").asInt()));
			table.print(out());
			return ExitCodes.OK;
		}

	}

}
