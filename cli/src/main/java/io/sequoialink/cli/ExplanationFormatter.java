package io.sequoialink.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats the explanation of a request as text. Stateless and thread-safe.
 */
final class ExplanationFormatter {

	private ExplanationFormatter() {
	}

	/**
	 * Formats an explanation as a single line.
	 * @param explanation the explanation as received from an entry host
	 * @return the line, "no explanation" if the host has none for the request
	 */
	static String singleLine(JsonNode explanation) {
		if (explanation.path("request").isMissingNode()) {
			return "no explanation";
		}
		StringBuilder line = new StringBuilder(explanation.path("request").asText()).append(" rev ")
			.append(explanation.path("revision").asLong())
			.append(" allowed ")
			.append(explanation.path("allowed"));
		for (JsonNode decision : explanation.path("decisions")) {
			line.append("; chose ").append(decision.path("version").asText());
			for (JsonNode considered : decision.path("considered")) {
				line.append(String.format(" [%s %.2f %.0f %s]", considered.path("version").asText(),
						considered.path("chance").asDouble(), considered.path("expectedCost").asDouble(),
						considered.path("note").asText()));
			}
		}
		for (JsonNode attempt : explanation.path("attempts")) {
			line.append("; ran ").append(attempt.path("version").asText()).append(" at ");
			line.append(attempt.path("server").asText()).append(' ').append(attempt.path("outcome").asText());
			line.append(" effect ").append(attempt.path("effect").asText());
			if (attempt.path("rating").isNumber()) {
				line.append(String.format(" rating %.2f", attempt.path("rating").asDouble()));
			}
		}
		explanation.path("steps").forEach((step) -> line.append("; ").append(step.asText()));
		if (explanation.path("bill").isObject()) {
			line.append("; billed ").append(explanation.path("bill").path("cost").asLong()).append(" micro-euros");
		}
		if (explanation.path("refusal").isObject()) {
			line.append("; refused: ").append(explanation.path("refusal").path("reason").asText());
		}
		return line.toString();
	}

}
