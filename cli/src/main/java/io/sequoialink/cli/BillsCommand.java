package io.sequoialink.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine;

/**
 * Lists the bills of requests, each request once, and their total. Confined to the main
 * thread.
 */
@CommandLine.Command(name = "bills", mixinStandardHelpOptions = true,
		description = "Shows the bills that the log holds, each request once.",
		footer = { "", "Examples:", "  sequoialink bills", "  sequoialink bills --from 120000 --format json" })
final class BillsCommand extends HostApiCommand {

	@CommandLine.Option(names = "--from", paramLabel = "OFFSET", defaultValue = "0",
			description = "first offset of the bill stream (default: ${DEFAULT-VALUE})")
	private long from;

	@Override
	int run(AdminClient client) throws Exception {
		JsonNode response = client.get("/admin/bills?from=" + this.from);
		if (json()) {
			return printJson(response);
		}
		JsonNode bills = response.isArray() ? response : response.path("bills");
		long totalCost = 0;
		Table table = new Table("REQUEST", "ACCOUNT", "VERSION", "TOKENS", "MICRO-EUROS");
		for (JsonNode bill : bills) {
			totalCost += bill.path("cost").asLong();
			table.row(bill.path("request").asText(), bill.path("account").asText(), bill.path("version").asText(),
					bill.path("tokens").asLong(), bill.path("cost").asLong());
		}
		table.print(out());
		out().println("Bills: " + bills.size() + ", micro-euros: " + totalCost);
		return ExitCodes.OK;
	}

}
