package io.sequoialink.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;

import io.sequoialink.catalogue.Verdict;
import io.sequoialink.model.Json;

/**
 * Prints for each submitted change whether it was accepted, and derives the exit code.
 * Stateless and thread-safe. A conflict is printed with the submitted and the active
 * object.
 */
final class VerdictPrinter {

	private VerdictPrinter() {
	}

	static void print(PrintWriter out, List<Verdict> verdicts) {
		Table table = new Table("OBJECT", "VERDICT", "OFFSET", "EXPLANATION");
		verdicts.forEach((verdict) -> table.row(verdict.change().key(), verdict.kind().name().toLowerCase(Locale.ROOT),
				verdict.offset(), verdict.explanation()));
		table.print(out);
		verdicts.stream().filter((verdict) -> verdict.kind() == Verdict.Kind.CONFLICT).forEach((verdict) -> {
			out.println();
			out.println("Conflict on " + verdict.change().key() + ", your change was not made:");
			out.println("  yours, by " + verdict.change().author() + " against revision "
					+ verdict.change().expectedRevision() + ":");
			out.println("    " + verdict.change().object().map(Json::write).orElse("deleted"));
			out.println("  in force, at revision "
					+ verdict.current().map((entry) -> Long.toString(entry.revision())).orElse("-") + ":");
			out.println("    " + verdict.current().map((entry) -> Json.write(entry.object())).orElse("does not exist"));
			out.println("  Look at 'sequoialink config history', change your file and apply it again.");
		});
	}

	static int exitCode(List<Verdict> verdicts) {
		if (verdicts.stream().anyMatch((verdict) -> verdict.kind() == Verdict.Kind.CONFLICT)) {
			return ExitCodes.CONFLICT;
		}
		return verdicts.stream().anyMatch((verdict) -> verdict.kind() == Verdict.Kind.INVALID) ? ExitCodes.INVALID
				: ExitCodes.OK;
	}

}
