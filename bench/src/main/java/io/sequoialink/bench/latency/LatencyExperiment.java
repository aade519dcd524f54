package io.sequoialink.bench.latency;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.ExperimentResult.Point;
import io.sequoialink.bench.Target;
import io.sequoialink.bench.outcomes.OutcomeTable;
import io.sequoialink.decision.ServerPolicy;
import io.sequoialink.decision.routing.LeastInFlightServerPolicy;
import io.sequoialink.decision.routing.LoadAwareServerPolicy;
import io.sequoialink.decision.routing.RoundRobinServerPolicy;
import io.sequoialink.decision.routing.RoutingParameters;

/**
 * Measures how long callers wait for their first token. Real hosts over loopback, open
 * loop, streamed answers of the cheapest version, shared prompt prefixes, load reports
 * that lag. Stateless; times depend on the machine and are compared inside one run.
 */
public final class LatencyExperiment implements Experiment {

	private static final int REQUESTS = 3000;

	private static final int QUICK_REQUESTS = 800;

	/** Requests of a run whose figures are dropped, so that all code is compiled. */
	private static final int DISCARDED = 400;

	/** Rounds in which the policies take turns, so that all meet the same machine. */
	private static final int ROUNDS = 4;

	private static final long SEED_STEP = 1_000_003;

	private static final double SPEED = 0.5;

	/** Offered load as a share of what the engines of the cheapest version can run. */
	private static final double LOAD = 0.85;

	private static final int ENGINE_BATCH = 16;

	private static final int PREFIXES = 60;

	private static final int WARM_UP_DIVISOR = 5;

	private static final String POLICY = "load aware";

	@Override
	public String name() {
		return "latency";
	}

	@Override
	public String question() {
		return "How long do callers wait for the first token, and what does the router add?";
	}

	@Override
	public String baselines() {
		return "round robin and least own requests in flight, each host by itself, on the same arrivals";
	}

	@Override
	public List<Target> targets() {
		return List.of(Target.atMost("ttft_vs_round_robin", 0.7), Target.atMost("ttft_vs_least_inflight", 1),
				Target.atMost("router_overhead_p99_ms", 2), Target.atMost("lost", 0));
	}

	@Override
	public ExperimentResult run(ExperimentOptions options) throws ExperimentException {
		OutcomeTable table = OutcomeTable.deployment(options.deployment());
		int count = options.quick() ? QUICK_REQUESTS : REQUESTS;
		double rate = LOAD * capacity(table, options.deployment());
		Map<String, Supplier<ServerPolicy>> policies = new LinkedHashMap<>();
		policies.put("round robin", RoundRobinServerPolicy::new);
		policies.put("least in flight", LeastInFlightServerPolicy::new);
		policies.put(POLICY, () -> new LoadAwareServerPolicy(RoutingParameters.DEFAULT));
		Map<String, RoutingRun> runs = new LinkedHashMap<>();
		try {
			measure(options, arrivals(options, table, DISCARDED, rate, 0), new RoutingRun(),
					RoundRobinServerPolicy::new);
			policies.keySet().forEach((name) -> runs.put(name, new RoutingRun()));
			for (int round = 1; round <= ROUNDS; round++) {
				List<Arrival> arrivals = arrivals(options, table, count / ROUNDS, rate, round);
				for (Map.Entry<String, Supplier<ServerPolicy>> entry : policies.entrySet()) {
					measure(options, arrivals, runs.get(entry.getKey()), entry.getValue());
				}
			}
			RouterOverhead.Result overhead = new RouterOverhead(table, options.deployment(), options.seed(), count)
				.measure();
			return result(runs, overhead, count, rate);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ExperimentException("interrupted", ex);
		}
		catch (Exception ex) {
			throw new ExperimentException("the fleet could not be run: " + ex.getMessage(), ex);
		}
	}

	private static List<Arrival> arrivals(ExperimentOptions options, OutcomeTable table, int count, double rate,
			int round) {
		return Arrival.draw(table, options.seed() + SEED_STEP * round, count, rate, PREFIXES, options.hosts());
	}

	private static void measure(ExperimentOptions options, List<Arrival> arrivals, RoutingRun run,
			Supplier<ServerPolicy> policy) throws Exception {
		run.run(arrivals, new RoutingRun.Setting(options.deployment(), options.seed(), options.hosts(), SPEED), policy,
				arrivals.size() / WARM_UP_DIVISOR);
	}

	private static double capacity(OutcomeTable table, String deployment) {
		OutcomeTable.VersionRow cheapest = table.versions().get(0);
		double meanMillis = table.classes()
			.stream()
			.mapToDouble((row) -> row.share() * cheapest.millis(row.answerTokens().min()))
			.sum();
		int engines = "magnolia".equals(deployment) ? 4 : 3;
		return engines * ENGINE_BATCH / (meanMillis * SPEED / 1000);
	}

	private static ExperimentResult result(Map<String, RoutingRun> runs, RouterOverhead.Result overhead, int count,
			double rate) {
		OpenLoop own = runs.get(POLICY).loop();
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("requests", count);
		figures.put("lost", own.unanswered());
		figures.put("ttft_p50_ms", own.millisAt(50));
		figures.put("ttft_p95_ms", own.millisAt(95));
		figures.put("ttft_vs_round_robin", own.millisAt(95) / runs.get("round robin").loop().millisAt(95));
		figures.put("ttft_vs_least_inflight", own.millisAt(95) / runs.get("least in flight").loop().millisAt(95));
		figures.put("prefix_hit_share", runs.get(POLICY).prefixHitShare());
		figures.put("router_overhead_p99_ms", overhead.p99());
		figures.put("router_overhead_p50_ms", overhead.p50());
		List<String> notes = new ArrayList<>();
		notes.add(String.format(Locale.ROOT, "%.1f requests a second, %.2f of capacity", rate, LOAD));
		Map<String, List<Point>> series = new LinkedHashMap<>();
		runs.forEach((name, run) -> {
			notes.add(
					String.format(Locale.ROOT,
							"%-16s first token p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, prefix hits "
									+ "%.3f, unanswered %d",
							name, run.loop().millisAt(50), run.loop().millisAt(95), run.loop().millisAt(99),
							run.prefixHitShare(), run.loop().unanswered()));
			series.put("first token by percentile (ms): " + name, points(run.loop()));
		});
		notes.add(String.format(Locale.ROOT,
				"overhead at 500 a second: direct p50 %.2f ms, p99 %.2f ms; routed p50 "
						+ "%.2f ms, p99 %.2f ms; unanswered %d",
				overhead.direct().millisAt(50), overhead.direct().millisAt(99), overhead.routed().millisAt(50),
				overhead.routed().millisAt(99), overhead.routed().unanswered()));
		return new ExperimentResult(figures, notes, series);
	}

	private static List<Point> points(OpenLoop loop) {
		List<Point> points = new ArrayList<>();
		for (int percentile = 1; percentile < 100; percentile++) {
			points.add(new Point(percentile, loop.millisAt(percentile)));
		}
		return points;
	}

}
