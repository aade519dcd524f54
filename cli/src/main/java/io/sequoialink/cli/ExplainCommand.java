package io.sequoialink.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.sequoialink.model.Identifiers;
import picocli.CommandLine;

/**
 * Explains how one request was handled, from the record of an entry host or from the log
 * lines of hosts. Confined to the main thread.
 */
@CommandLine.Command(name = "explain", mixinStandardHelpOptions = true,
		description = "Explains one request: what was allowed, weighed, chosen, tried, rated and billed.",
		exitCodeListHeading = ExitCodes.HELP_HEADING,
		exitCodeList = { "0:explained", "1:no host that answers remembers the request", "2:no request identifier" },
		footer = { "", "The request identifier stands in the header x-sequoialink-request of the answer.", "",
				"Example:", "  sequoialink explain magnolia-3.mx84xlqj.1",
				"  sequoialink explain 5e0f3831b7d1f19a --lines host-1.log host-2.log",
				"  sequoialink explain 5e0f3831b7d1f19a --lines - < all.log" })
final class ExplainCommand extends HostApiCommand {

	@CommandLine.Parameters(paramLabel = "REQUEST_ID", description = "the request")
	private String request;

	@CommandLine.Option(names = "--lines", paramLabel = "FILE", arity = "1..*",
			description = "read the log lines of entry hosts from these files instead of asking a host; - is standard input")
	private List<String> files = List.of();

	@Override
	public Integer call() throws Exception {
		return this.files.isEmpty() ? super.call() : explainFromLogs();
	}

	private int explainFromLogs() throws IOException {
		RequestLogExplainer explainer = new RequestLogExplainer(this.request);
		for (String file : this.files) {
			try (BufferedReader lines = open(file)) {
				explainer.read(lines);
			}
		}
		List<String> sentences = explainer.describe();
		sentences.forEach(out()::println);
		if (sentences.isEmpty()) {
			out().println("no line names request " + this.request
					+ ": it reached no host, or its host ended before its final line");
		}
		out().flush();
		return sentences.isEmpty() ? ExitCodes.FAILED : ExitCodes.OK;
	}

	private static BufferedReader open(String file) throws IOException {
		return file.equals("-") ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
				: Files.newBufferedReader(Path.of(file));
	}

	@Override
	int run(AdminClient client) throws Exception {
		if (!Identifiers.valid(this.request)) {
			throw invalid("Invalid value for REQUEST_ID: '" + this.request + "'");
		}
		JsonNode explanation = client.get("/admin/explain/" + this.request);
		if (json()) {
			return printJson(explanation);
		}
		ExplanationPrinter.print(out(), explanation);
		return ExitCodes.OK;
	}

}
