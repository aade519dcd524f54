package io.sequoialink.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

import io.sequoialink.catalogue.Verdict;
import io.sequoialink.daemon.settings.CatalogueFile;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ObjectKind;
import io.sequoialink.model.Selector;
import picocli.CommandLine;

/**
 * Groups the commands that show and change the configuration objects of the fleet.
 * Confined to the main thread.
 */
@CommandLine.Command(name = "config", mixinStandardHelpOptions = true,
		description = "Shows and changes the configuration of the fleet.", subcommands = { ConfigCommand.Apply.class,
				ConfigCommand.Get.class, ConfigCommand.History.class, ConfigCommand.Diff.class })
final class ConfigCommand extends CommandGroup {

	private static OptionalLong toOptional(Long value) {
		return (value != null) ? OptionalLong.of(value) : OptionalLong.empty();
	}

	/**
	 * Publishes the objects of a file that differ from the active configuration. Confined
	 * to the main thread.
	 */
	@CommandLine.Command(name = "apply", mixinStandardHelpOptions = true,
			description = "Publishes the objects of a file that differ from the configuration in force.",
			exitCodeListHeading = ExitCodes.HELP_HEADING,
			exitCodeList = { "0:all changes were accepted", "1:the host or the log gave no verdict",
					"2:the file is not accepted; nothing was published",
					"3:another change came first; both sides are shown" },
			footer = { "", "Examples:",
					"  sequoialink config apply examples/magnolia/catalogue.yaml --reason 'first set-up'",
					"  sequoialink config apply limits.yaml --based-on 120   # conflicts with later changes" })
	static final class Apply extends HostApiCommand {

		@CommandLine.Mixin
		private AuthorOptions authorOptions;

		@CommandLine.Parameters(paramLabel = "FILE", description = "a YAML file of configuration objects")
		private Path file;

		@CommandLine.Option(names = "--based-on", paramLabel = "REVISION",
				description = "the revision that the file was made from; an object that has changed since then is a conflict")
		private Long basedOn;

		@Override
		int run(AdminClient client) throws Exception {
			String author = this.authorOptions.author();
			CatalogueView activeConfig = client.config();
			ConfigPlan plan = ConfigPlan.of(CatalogueFile.read(this.file, activeConfig), activeConfig,
					toOptional(this.basedOn));
			List<Verdict> verdicts = client.submit(plan.changes(author, this.authorOptions.reason()));
			if (json()) {
				printJson(verdicts);
			}
			else {
				VerdictPrinter.print(out(), verdicts);
				out().println(plan.unchanged() + " objects were in force already.");
			}
			return VerdictPrinter.exitCode(verdicts);
		}

	}

	/** Lists configuration objects, optionally filtered. Confined to the main thread. */
	@CommandLine.Command(name = "get", mixinStandardHelpOptions = true,
			description = "Shows the configuration in force at one host.",
			footer = { "", "Examples:", "  sequoialink config get",
					"  sequoialink config get --kind version --selector 'tier in (small, medium)' --format json" })
	static final class Get extends HostApiCommand {

		@CommandLine.Option(names = "--selector", converter = SelectorConverter.class, defaultValue = "",
				description = "only objects whose labels match, as 'tier=small, !retired'")
		private Selector selector;

		@CommandLine.Option(names = "--kind",
				description = "only one kind: account, version, class, cascade, rollout or service")
		private String kind;

		@Override
		int run(AdminClient client) throws Exception {
			ObjectKind kindFilter = kind();
			CatalogueView view = client.config();
			List<CatalogueView.Entry> entries = view.entries()
				.stream()
				.filter((entry) -> kindFilter == null || entry.object().key().kind() == kindFilter)
				.filter((entry) -> this.selector.matches(entry.object().labels()))
				.toList();
			if (json()) {
				return printJson(entries);
			}
			Table table = new Table("OBJECT", "REVISION", "LABELS");
			entries
				.forEach((entry) -> table.row(entry.object().key(), entry.revision(), entry.object().labels().asMap()));
			table.print(out());
			out().println(entries.size() + " objects at revision " + view.revision());
			return ExitCodes.OK;
		}

		private ObjectKind kind() {
			try {
				return (this.kind != null) ? ObjectKind.valueOf(this.kind.toUpperCase(Locale.ROOT)) : null;
			}
			catch (IllegalArgumentException ex) {
				throw invalid("Invalid value for option '--kind': '" + this.kind
						+ "': use account, version, class, cascade, rollout or service");
			}
		}

	}

	/**
	 * Lists the most recent changes and whether they were accepted. Confined to the main
	 * thread.
	 */
	@CommandLine.Command(name = "history", mixinStandardHelpOptions = true,
			description = "Shows the newest changes with their verdicts, newest first.",
			footer = { "", "Example:", "  sequoialink config history --limit 20" })
	static final class History extends HostApiCommand {

		@CommandLine.Option(names = "--limit", defaultValue = "50",
				description = "the most changes to show (default: ${DEFAULT-VALUE})")
		private int limit;

		@Override
		int run(AdminClient client) throws Exception {
			List<Verdict> verdicts = client.history(this.limit);
			if (json()) {
				return printJson(verdicts);
			}
			Table table = new Table("OFFSET", "VERDICT", "OBJECT", "AUTHOR", "REASON");
			verdicts.forEach((verdict) -> table.row(verdict.offset(), verdict.kind().name().toLowerCase(Locale.ROOT),
					verdict.change().key(), verdict.change().author(), verdict.change().reason()));
			table.print(out());
			return ExitCodes.OK;
		}

	}

	/** Compares a file with the active configuration. Confined to the main thread. */
	@CommandLine.Command(name = "diff", mixinStandardHelpOptions = true,
			description = "Shows what 'config apply' would change; changes nothing.",
			footer = { "", "Example:", "  sequoialink config diff examples/bergvik/catalogue.yaml" })
	static final class Diff extends HostApiCommand {

		@CommandLine.Parameters(paramLabel = "FILE", description = "a YAML file of configuration objects")
		private Path file;

		@Override
		int run(AdminClient client) throws Exception {
			CatalogueView activeConfig = client.config();
			ConfigPlan plan = ConfigPlan.of(CatalogueFile.read(this.file, activeConfig), activeConfig,
					OptionalLong.empty());
			if (json()) {
				return printJson(plan);
			}
			for (ConfigPlan.Step step : plan.steps()) {
				out().println((step.current().isPresent() ? "~ " : "+ ") + step.object().key());
				step.differenceLines().forEach((line) -> out().println("    " + line));
			}
			out().println(plan.steps().size() + " objects differ, " + plan.unchanged() + " are in force already.");
			return ExitCodes.OK;
		}

	}

}
