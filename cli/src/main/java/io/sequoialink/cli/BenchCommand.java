package io.sequoialink.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.Experiments;
import io.sequoialink.bench.Target;
import io.sequoialink.bench.report.HtmlReport;
import picocli.CommandLine;

/**
 * Runs one benchmark experiment or all of them and prints the measured figures. Confined
 * to the main thread. Exits with 1 if an experiment misses one of its targets.
 */
@CommandLine.Command(name = "bench", mixinStandardHelpOptions = true,
		description = "Runs an experiment and prints its figures as one JSON line.", footer = { "", "Examples:",
				"  sequoialink bench list", "  sequoialink bench cascade --seed 7", "  sequoialink bench all --quick" })
final class BenchCommand implements Callable<Integer> {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@CommandLine.Parameters(paramLabel = "NAME", description = "an experiment, 'list' or 'all'")
	private String name;

	@CommandLine.Option(names = "--seed", defaultValue = "1", description = "seed (default: ${DEFAULT-VALUE})")
	private long seed;

	@CommandLine.Option(names = "--hosts", split = ",", defaultValue = "8", paramLabel = "H[,H...]",
			description = "entry hosts, or the numbers of hosts for slopes (default: ${DEFAULT-VALUE})")
	private List<Integer> hosts;

	@CommandLine.Option(names = "--deployment", defaultValue = "magnolia",
			description = "magnolia or bergvik (default: ${DEFAULT-VALUE})")
	private String deployment;

	@CommandLine.Option(names = "--quick", description = "take the smallest size that still gives a verdict")
	private boolean quick;

	@CommandLine.Option(names = "--live", description = "repeat the run over loopback")
	private boolean live;

	@CommandLine.Option(names = "--outcomes", paramLabel = "FILE", description = "another table of outcomes")
	private Path outcomes;

	@CommandLine.Option(names = "--output", paramLabel = "DIR", description = "write an HTML page with plots")
	private Path output;

	@Override
	public Integer call() throws ExperimentException {
		return switch (this.name) {
			case "list" -> listExperiments();
			case "all" -> runAll();
			default -> runOne();
		};
	}

	private int listExperiments() {
		for (Experiment experiment : Experiments.all()) {
			out().println(experiment.name());
			out().println("  question:  " + experiment.question());
			out().println("  baselines: " + experiment.baselines());
			experiment.targets().forEach((target) -> out().println("  target:    " + target));
		}
		out().flush();
		return 0;
	}

	private int runAll() throws ExperimentException {
		int missed = 0;
		for (Experiment experiment : Experiments.all()) {
			ExperimentResult result = experiment.run(options());
			missed += printTable(experiment, result);
			HtmlReport.write(experiment, options(), result);
		}
		out().flush();
		return (missed > 0) ? 1 : 0;
	}

	private int printTable(Experiment experiment, ExperimentResult result) {
		int missed = 0;
		for (Target target : experiment.targets()) {
			boolean met = target.met(result.figures());
			missed += met ? 0 : 1;
			out().printf("%-10s %-48s %-14s %s%n", experiment.name(), target,
					result.figures().path(target.field()).asText(), met ? "pass" : "short");
		}
		out().flush();
		return missed;
	}

	private int runOne() throws ExperimentException {
		Experiment experiment = Experiments.named(this.name)
			.orElseThrow(() -> new CommandLine.ParameterException(this.spec.commandLine(), "Unknown experiment '"
					+ this.name + "': use one of " + Experiments.all().stream().map(Experiment::name).toList()));
		ExperimentResult result = experiment.run(options());
		result.notes().forEach(out()::println);
		HtmlReport.write(experiment, options(), result).ifPresent((page) -> out().println("report: " + page));
		boolean missed = experiment.targets().stream().anyMatch((target) -> !target.met(result.figures()));
		out().println(result.figures());
		out().flush();
		return missed ? 1 : 0;
	}

	private ExperimentOptions options() {
		return new ExperimentOptions(this.seed, this.deployment, this.hosts.get(0), this.hosts, this.quick, this.live,
				Optional.ofNullable(this.outcomes), Optional.ofNullable(this.output));
	}

	private PrintWriter out() {
		return this.spec.commandLine().getOut();
	}

}
