package io.sequoialink.bench.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.Target;
import io.sequoialink.catalogue.CatalogueFold;
import io.sequoialink.catalogue.FoldState;
import io.sequoialink.catalogue.Verdict;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.Json;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.ObjectKey;
import io.sequoialink.model.VersionState;
import io.sequoialink.remote.LogRecord;

/**
 * Racing changes of configuration under faults of the log, held against the fold of what
 * the log took. Stateless and thread-safe.
 */
public final class ConfigExperiment implements Experiment {

	private static final long QUICK_MILLIS = 8_000;

	private static final long FULL_MILLIS = 24_000;

	@Override
	public String name() {
		return "config";
	}

	@Override
	public String question() {
		return "Does every accepted change reach all hosts in time, once and for good, while the log fails?";
	}

	@Override
	public String baselines() {
		return "none: the reference is the fold of the records that the stand-in of the log took";
	}

	@Override
	public List<Target> targets() {
		return List.of(Target.atLeast("accepted", 1), Target.atMost("lost_changes", 0), Target.atMost("reverts", 0),
				Target.atMost("diverged_hosts", 0), Target.atMost("withdrawn_new_work", 0),
				Target.atMost("in_force_p99_ms", ConfigHost.BOUND.toMillis()));
	}

	@Override
	public ExperimentResult run(ExperimentOptions options) throws ExperimentException {
		try {
			ConfigRun run = new ConfigRun(options.seed(), options.hosts(), options.quick() ? QUICK_MILLIS : FULL_MILLIS)
				.run();
			List<String> notes = new ArrayList<>();
			notes.add("The log is reached over HTTP on loopback; peers are asked by calls within the process.");
			Map<String, List<ExperimentResult.Point>> series = new TreeMap<>();
			if (!options.quick()) {
				slopes(options, notes, series);
			}
			return new ExperimentResult(figures(run, notes), notes, series);
		}
		catch (IOException ex) {
			throw new ExperimentException("the stand-in of the log did not start", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ExperimentException("interrupted", ex);
		}
	}

	private static void slopes(ExperimentOptions options, List<String> notes,
			Map<String, List<ExperimentResult.Point>> series) throws IOException, InterruptedException {
		for (int hosts : options.hostCounts()) {
			ConfigRun run = new ConfigRun(options.seed(), hosts, QUICK_MILLIS).run();
			notes.add("%d hosts: %.1f appends/s, %.0f payload bytes/s a host, %.4f cores a host (with the stand-in)"
				.formatted(hosts, run.appendsPerSecond(), run.bytesPerSecondOfHost(), run.processorShareOfHost()));
			add(series, "appends/s", hosts, run.appendsPerSecond());
			add(series, "payload bytes/s a host", hosts, run.bytesPerSecondOfHost());
			add(series, "cores a host", hosts, run.processorShareOfHost());
		}
	}

	private static void add(Map<String, List<ExperimentResult.Point>> series, String name, double x, double y) {
		series.computeIfAbsent(name, (key) -> new ArrayList<>()).add(new ExperimentResult.Point(x, y));
	}

	private static ObjectNode figures(ConfigRun run, List<String> notes) {
		List<Verdict> verdicts = verdicts(run.records());
		FoldState reference = run.reference();
		ObjectNode node = Json.mapper().createObjectNode();
		node.put("hosts", run.hosts().size());
		node.put("changes", run.changes());
		node.put("accepted", count(run, Verdict.Kind.ACCEPTED));
		node.put("conflicts", count(run, Verdict.Kind.CONFLICT));
		node.put("unsettled", run.unsettled());
		node.put("lost_changes", lost(run, verdicts));
		node.put("reverts",
				run.hosts().stream().mapToInt(ConfigHost::reverts).sum() + overwritten(reference, verdicts));
		node.put("diverged_hosts",
				run.hosts().stream().filter((host) -> !same(host.catalogue().state(), reference)).count());
		node.put("in_force_p99_ms", inForceP99(run, verdicts));
		node.put("withdrawn_new_work", withdrawnNewWork(run, verdicts));
		node.put("new_work", run.hosts().stream().mapToLong((host) -> host.started().size()).sum());
		notes.add("rounds in which a host started nothing because its view was older than the bound: "
				+ run.hosts().stream().mapToInt(ConfigHost::refused).sum());
		return node;
	}

	private static List<Verdict> verdicts(List<LogRecord> records) {
		List<Verdict> verdicts = new ArrayList<>();
		FoldState state = FoldState.empty();
		for (LogRecord record : records) {
			CatalogueFold.Step step = CatalogueFold.step(state, record);
			state = step.state();
			step.verdict().ifPresent(verdicts::add);
		}
		return verdicts;
	}

	private static long count(ConfigRun run, Verdict.Kind kind) {
		return run.told().stream().filter((verdict) -> verdict.kind() == kind).count();
	}

	private static long lost(ConfigRun run, List<Verdict> verdicts) {
		Map<String, Verdict> first = new HashMap<>();
		verdicts.forEach((verdict) -> first.putIfAbsent(verdict.change().id(), verdict));
		return run.told()
			.stream()
			.filter((told) -> told.kind() == Verdict.Kind.ACCEPTED)
			.filter((told) -> first.get(told.change().id()) == null
					|| first.get(told.change().id()).kind() != Verdict.Kind.ACCEPTED)
			.count();
	}

	// Counts objects that are not as their newest accepted change left them.
	private static long overwritten(FoldState reference, List<Verdict> verdicts) {
		Map<ObjectKey, Verdict> newest = new HashMap<>();
		verdicts.stream()
			.filter((verdict) -> verdict.kind() == Verdict.Kind.ACCEPTED)
			.forEach((verdict) -> newest.put(verdict.change().key(), verdict));
		return newest.values()
			.stream()
			.filter((verdict) -> !reference.view()
				.entry(verdict.change().key())
				.map(CatalogueView.Entry::object)
				.equals(verdict.change().object()))
			.count();
	}

	private static boolean same(FoldState a, FoldState b) {
		return a.next() == b.next() && List.copyOf(a.view().entries()).equals(List.copyOf(b.view().entries()));
	}

	private static long inForceP99(ConfigRun run, List<Verdict> verdicts) {
		List<Long> times = new ArrayList<>();
		for (ConfigHost host : run.hosts()) {
			for (ConfigHost.Seen seen : host.seen()) {
				verdicts.stream()
					.filter((verdict) -> verdict.kind() == Verdict.Kind.ACCEPTED && seen.from() >= 0)
					.filter((verdict) -> verdict.offset() > seen.from() && verdict.offset() <= seen.to())
					.forEach((verdict) -> times
						.add(seen.atMillis() - run.records().get((int) verdict.offset()).atMillis()));
			}
		}
		return Percentile.p99(times);
	}

	// Counts new work on versions that were withdrawn more than the bound before.
	private static long withdrawnNewWork(ConfigRun run, List<Verdict> verdicts) {
		Map<ObjectKey, TreeMap<Long, Boolean>> withdrawn = new HashMap<>();
		for (Verdict verdict : verdicts) {
			if (verdict.kind() == Verdict.Kind.ACCEPTED
					&& verdict.change().object().orElse(null) instanceof ModelVersion version) {
				long at = run.records().get((int) verdict.offset()).atMillis();
				withdrawn.computeIfAbsent(version.key(), (key) -> new TreeMap<>())
					.put(at, version.state() == VersionState.WITHDRAWN);
			}
		}
		return run.hosts()
			.stream()
			.flatMap((host) -> host.started().stream())
			.filter((work) -> withdrawnThroughout(withdrawn.get(work.version()), work.atMillis()))
			.count();
	}

	private static boolean withdrawnThroughout(TreeMap<Long, Boolean> states, long atMillis) {
		long from = atMillis - ConfigHost.BOUND.toMillis();
		Map.Entry<Long, Boolean> before = states.floorEntry(from);
		return before != null && before.getValue() && !states.subMap(from, true, atMillis, true).containsValue(false);
	}

}
