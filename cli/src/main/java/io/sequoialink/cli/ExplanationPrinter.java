package io.sequoialink.cli;

import java.io.PrintWriter;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Prints the explanation of a request as labelled lines and tables. Stateless and
 * thread-safe.
 */
final class ExplanationPrinter {

	private ExplanationPrinter() {
	}

	static void print(PrintWriter out, JsonNode explanation) {
		out.println("Request   " + explanation.path("request").asText() + " of account "
				+ explanation.path("account").asText() + ", class " + explanation.path("requestClass").asText());
		out.println("Revision  " + explanation.path("revision").asLong() + " of the configuration");
		out.println("Allowed   " + explanation.path("allowed"));
		out.println("Took      " + explanation.path("tookMillis").asLong() + " ms");
		explanation.path("decisions").forEach((decision) -> printDecision(out, decision));
		printAttempts(out, explanation.path("attempts"));
		explanation.path("steps").forEach((step) -> out.println("Step      " + step.asText()));
		JsonNode bill = explanation.path("bill");
		if (bill.isObject()) {
			out.println("Billed    " + bill.path("cost").asLong() + " micro-euros for " + bill.path("tokens").asLong()
					+ " tokens");
		}
		JsonNode refusal = explanation.path("refusal");
		if (refusal.isObject()) {
			out.println("Refused   " + refusal.path("code").asText().toLowerCase(Locale.ROOT) + ", executed "
					+ refusal.path("effect").asText().toLowerCase(Locale.ROOT) + ": "
					+ refusal.path("reason").asText());
		}
	}

	private static void printDecision(PrintWriter out, JsonNode decision) {
		out.println("Chosen    " + decision.path("version").asText("none") + ": " + decision.path("reason").asText());
		Table table = new Table("  VERSION", "CHANCE", "EXPECTED COST", "NOTE");
		decision.path("considered")
			.forEach((considered) -> table.row("  " + considered.path("version").asText(),
					String.format(Locale.ROOT, "%.3f", considered.path("chance").asDouble()),
					String.format(Locale.ROOT, "%.0f", considered.path("expectedCost").asDouble()),
					considered.path("note").asText()));
		table.print(out);
	}

	private static void printAttempts(PrintWriter out, JsonNode attempts) {
		if (attempts.isEmpty()) {
			out.println("Attempts  none");
			return;
		}
		out.println("Attempts");
		Table table = new Table("  VERSION", "SERVER", "OUTCOME", "EFFECT", "RATING");
		attempts.forEach((attempt) -> table.row("  " + attempt.path("version").asText(),
				attempt.path("server").asText(), attempt.path("outcome").asText().toLowerCase(Locale.ROOT),
				attempt.path("effect").asText().toLowerCase(Locale.ROOT), attempt.path("rating").asText("-")));
		table.print(out);
	}

}
