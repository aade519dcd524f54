package io.sequoialink.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.model.Identifiers;
import picocli.CommandLine;

/**
 * Explains one request. Confined to the main thread.
 */
@CommandLine.Command(name = "explain", mixinStandardHelpOptions = true,
		description = "Explains one request: what was allowed, weighed, chosen, tried, rated and billed.",
		exitCodeListHeading = ExitCodes.HELP_HEADING,
		exitCodeList = { "0:explained", "1:no host that answers remembers the request", "2:no request identifier" },
		footer = { "", "The request identifier stands in the header x-sequoialink-request of the answer.", "",
				"Example:", "  sequoialink explain magnolia-3.mx84xlqj.1" })
final class ExplainCommand extends CommandBase {

	@CommandLine.Parameters(paramLabel = "REQUEST_ID", description = "the request")
	private String request;

	@Override
	int run(AdminClient client) throws Exception {
		if (!Identifiers.valid(this.request)) {
			throw invalid("Invalid value for REQUEST_ID: '" + this.request + "'");
		}
		JsonNode explanation = client.get("/admin/explain/" + this.request);
		if (json()) {
			return printJson(explanation);
		}
		ExplainPage.print(out(), explanation);
		return ExitCodes.OK;
	}

}
