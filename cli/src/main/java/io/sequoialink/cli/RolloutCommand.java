package io.sequoialink.cli;

import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.UnaryOperator;

import io.sequoialink.catalogue.Verdict;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.RolloutState;
import io.sequoialink.model.Selector;
import picocli.CommandLine;

/**
 * Groups the commands that start, pause and show roll-outs. Confined to the main thread.
 */
@CommandLine.Command(name = "rollout", mixinStandardHelpOptions = true,
		description = "Steers roll-outs; 'config apply' creates them.",
		subcommands = { RolloutCommand.Start.class, RolloutCommand.Pause.class, RolloutCommand.Status.class })
final class RolloutCommand extends CommandGroup {

	/**
	 * Base of the commands that change the state of all roll-outs matching a selector.
	 * Confined to the main thread.
	 */
	abstract static class StateChange extends HostApiCommand {

		@CommandLine.Mixin
		private AuthorOptions authorOptions;

		@CommandLine.Option(names = "--selector", required = true, converter = SelectorConverter.class,
				description = "which roll-outs, by their labels")
		private Selector selector;

		int changeState(AdminClient client, UnaryOperator<Rollout> change) throws Exception {
			String author = this.authorOptions.author();
			CatalogueView activeConfig = client.config();
			List<Rollout> wanted = activeConfig.rollouts()
				.filter((rollout) -> this.selector.matches(rollout.labels()))
				.map(change)
				.toList();
			if (wanted.isEmpty()) {
				throw new AdminException(ExitCodes.FAILED,
						"no roll-out matches '" + this.selector + "': see 'sequoialink rollout status'", null);
			}
			rejectFinished(wanted);
			List<Verdict> verdicts = client.submit(ConfigPlan.of(wanted, activeConfig, OptionalLong.empty())
				.changes(author, this.authorOptions.reason()));
			if (json()) {
				printJson(verdicts);
			}
			else if (verdicts.isEmpty()) {
				out().println("Nothing to change.");
			}
			else {
				VerdictPrinter.print(out(), verdicts);
			}
			return VerdictPrinter.exitCode(verdicts);
		}

		private void rejectFinished(List<Rollout> wanted) throws AdminException {
			for (Rollout rollout : wanted) {
				if (rollout.state() == RolloutState.RETURNED || rollout.state() == RolloutState.COMPLETED) {
					throw new AdminException(ExitCodes.FAILED,
							"roll-out " + rollout.id() + " is " + rollout.state().name().toLowerCase(Locale.ROOT)
									+ ": nothing was changed; 'rollout start --from-first' begins it again",
							null);
				}
			}
		}

	}

	/** Starts roll-outs or resumes paused ones. Confined to the main thread. */
	@CommandLine.Command(name = "start", mixinStandardHelpOptions = true,
			description = "Starts roll-outs or resumes them at the stage at which they were paused.",
			exitCodeListHeading = ExitCodes.HELP_HEADING,
			exitCodeList = { "0:running", "1:none matches, or no verdict", "3:another change came first" },
			footer = { "", "Examples:", "  sequoialink rollout start --selector family=caption",
					"  sequoialink rollout start --selector family=caption --from-first   # also one that was returned" })
	static final class Start extends StateChange {

		@CommandLine.Option(names = "--from-first", description = "begin at the first stage")
		private boolean fromFirst;

		@Override
		int run(AdminClient client) throws Exception {
			return changeState(client, (rollout) -> {
				boolean startsOrResumes = this.fromFirst || rollout.state() == RolloutState.PAUSED;
				return startsOrResumes ? rollout.at(RolloutState.RUNNING, this.fromFirst ? 0 : rollout.stage())
						: rollout;
			});
		}

	}

	/** Pauses running roll-outs. Confined to the main thread. */
	@CommandLine.Command(name = "pause", mixinStandardHelpOptions = true,
			description = "Pauses roll-outs: the candidate keeps its sessions but receives no new work.",
			exitCodeListHeading = ExitCodes.HELP_HEADING,
			exitCodeList = { "0:paused", "1:none matches, or no verdict", "3:another change came first" },
			footer = { "", "Example:", "  sequoialink rollout pause --selector family=caption --reason 'launch day'" })
	static final class Pause extends StateChange {

		@Override
		int run(AdminClient client) throws Exception {
			return changeState(client, (rollout) -> (rollout.state() == RolloutState.RUNNING)
					? rollout.at(RolloutState.PAUSED, rollout.stage()) : rollout);
		}

	}

	/** Lists roll-outs with their state and stage. Confined to the main thread. */
	@CommandLine.Command(name = "status", mixinStandardHelpOptions = true, description = "Shows roll-outs.",
			footer = { "", "Example:", "  sequoialink rollout status --selector family=caption" })
	static final class Status extends HostApiCommand {

		@CommandLine.Option(names = "--selector", converter = SelectorConverter.class, defaultValue = "",
				description = "only roll-outs whose labels match")
		private Selector selector;

		@Override
		int run(AdminClient client) throws Exception {
			List<Rollout> rollouts = client.rollouts()
				.stream()
				.filter((rollout) -> this.selector.matches(rollout.labels()))
				.toList();
			if (json()) {
				return printJson(rollouts);
			}
			Table table = new Table("ROLL-OUT", "STATE", "STAGE", "SHARE", "STABLE", "CANDIDATE", "ACCOUNTS");
			rollouts.forEach((rollout) -> table.row(rollout.id(), rollout.state().name().toLowerCase(Locale.ROOT),
					(rollout.stage() + 1) + "/" + rollout.stages().size(), rollout.currentStage().share(),
					rollout.stable(), rollout.candidate(), rollout.accounts()));
			table.print(out());
			return ExitCodes.OK;
		}

	}

}
