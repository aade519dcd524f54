package io.sequoialink.bench.cascade;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.ExperimentResult.Point;
import io.sequoialink.bench.Target;
import io.sequoialink.bench.outcomes.DrawnRequest;
import io.sequoialink.bench.outcomes.OutcomeTable;
import io.sequoialink.bench.outcomes.RequestDraws;
import io.sequoialink.decision.CascadePolicy;
import io.sequoialink.decision.cascade.AdaptiveCascadePolicy;
import io.sequoialink.decision.cascade.CascadeParameters;

/**
 * Measures what answers cost at the quality target. Stateless and thread-safe.
 */
public final class CascadeExperiment implements Experiment {

	/** Requests of a run; a quick run has no fewer, since it takes about a second. */
	public static final int REQUESTS = 20_000;

	/** Where plots and notes name the policy under test. */
	private static final String POLICY = "adaptive";

	@Override
	public String name() {
		return "cascade";
	}

	@Override
	public String question() {
		return "What does an answer cost when every class meets its quality target?";
	}

	@Override
	public String baselines() {
		return "always the dearest version; an oracle that knows every draw; the best fixed cascade found on another "
				+ "seed; the same rule with the true chances (attainable)";
	}

	@Override
	public List<Target> targets() {
		return List.of(Target.atLeastField("quality_met", "quality_target"), Target.atMost("cost_vs_best_model", 0.25),
				Target.atMost("cost_vs_oracle", 1.15), Target.atMost("cost_vs_fixed_cascade", 1),
				Target.atMost("lost", 0));
	}

	@Override
	public ExperimentResult run(ExperimentOptions options) throws ExperimentException {
		OutcomeTable table = OutcomeTable.of(options);
		List<DrawnRequest> requests = RequestDraws.draw(table, options.seed(), REQUESTS);
		Map<String, Books> runs = new LinkedHashMap<>();
		Baselines.Fixed fixed = Baselines.bestFixed(table, options.seed(), REQUESTS);
		runs.put("dearest", run(table, requests, options, Baselines.alwaysDearest(table), Scenario.NONE));
		runs.put("fixed", run(table, requests, options, fixed.policy(), Scenario.NONE));
		runs.put("attainable", run(table, requests, options,
				new AdaptiveCascadePolicy(CascadeParameters.DEFAULT, new KnownChances(table)), Scenario.NONE));
		runs.put(POLICY, run(table, requests, options, adaptive(), Scenario.NONE));
		List<String> notes = new ArrayList<>();
		notes.add(String.format(Locale.ROOT, "best fixed cascade: starts at tier %d, goes up below %.2f, margin %.4f",
				fixed.tier(), fixed.threshold(), fixed.margin()));
		runs.forEach((name, books) -> notes.addAll(describe(name, table, books)));
		notes.addAll(relaxed(table, options));
		notes.addAll(faults(table, requests, options));
		notes.add(DecisionCost.measure(options.seed()));
		Map<String, List<Point>> series = new LinkedHashMap<>();
		runs.forEach((name, books) -> series.put("cost per request: " + name, books.costSeries()));
		return new ExperimentResult(figures(requests, runs), notes, series);
	}

	private static Books run(OutcomeTable table, List<DrawnRequest> requests, ExperimentOptions options,
			CascadePolicy policy, Scenario scenario) {
		return CascadeRun.run(table, requests, policy, scenario, options.seed());
	}

	private static AdaptiveCascadePolicy adaptive() {
		return new AdaptiveCascadePolicy(CascadeParameters.DEFAULT);
	}

	private static List<String> relaxed(OutcomeTable table, ExperimentOptions options) {
		List<String> lines = new ArrayList<>();
		lines.add(relaxed("without sessions", table.relaxed(true), options, RequestDraws.STREAMED_SHARE));
		lines
			.add(relaxed("without sessions and deadlines", table.relaxed(false), options, RequestDraws.STREAMED_SHARE));
		lines.add(relaxed("without sessions, deadlines and streams", table.relaxed(false), options, 0));
		return lines;
	}

	private static String relaxed(String name, OutcomeTable table, ExperimentOptions options, double streamedShare) {
		List<DrawnRequest> requests = RequestDraws.draw(table, options.seed(), REQUESTS, streamedShare);
		double dearest = run(table, requests, options, Baselines.alwaysDearest(table), Scenario.NONE).costPerRequest();
		double oracle = Baselines.oracleCost(requests);
		Books known = run(table, requests, options,
				new AdaptiveCascadePolicy(CascadeParameters.DEFAULT, new KnownChances(table)), Scenario.NONE);
		Books books = run(table, requests, options, adaptive(), Scenario.NONE);
		return String.format(Locale.ROOT,
				"%s: %.3f of always-dearest, %.3f of the oracle, margin %+.4f; with the true chances %.3f, %.3f, %+.4f",
				name, books.costPerRequest() / dearest, books.costPerRequest() / oracle, books.leastMargin(),
				known.costPerRequest() / dearest, known.costPerRequest() / oracle, known.leastMargin());
	}

	private static List<String> faults(OutcomeTable table, List<DrawnRequest> requests, ExperimentOptions options) {
		Map<String, Scenario> scenarios = new LinkedHashMap<>();
		scenarios.put("ratings down", Scenario.outage(0.4, 0.7));
		scenarios.put("cheapest x0.7", Scenario.drift(0.4, 0, 0.7));
		scenarios.put("second x0.7", Scenario.drift(0.4, 1, 0.7));
		List<String> lines = new ArrayList<>();
		scenarios.forEach((name, scenario) -> lines
			.addAll(describe(name, table, run(table, requests, options, adaptive(), scenario))));
		return lines;
	}

	private static ObjectNode figures(List<DrawnRequest> requests, Map<String, Books> runs) {
		Books books = runs.get(POLICY);
		int worst = books.worstClass();
		double oracle = Baselines.oracleCost(requests);
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("requests", books.requests());
		figures.put("lost", requests.size() - books.requests());
		figures.put("cost_per_request", books.costPerRequest());
		figures.put("quality_met", books.met(worst));
		figures.put("quality_target", books.met(worst) - books.margin(worst));
		figures.put("cost_vs_best_model", books.costPerRequest() / runs.get("dearest").costPerRequest());
		figures.put("cost_vs_oracle", books.costPerRequest() / oracle);
		figures.put("cost_vs_fixed_cascade", books.costPerRequest() / runs.get("fixed").costPerRequest());
		figures.put("first_token_p95_ms", books.firstTokenP95());
		figures.put("attainable_vs_best_model",
				runs.get("attainable").costPerRequest() / runs.get("dearest").costPerRequest());
		figures.put("attainable_vs_oracle", runs.get("attainable").costPerRequest() / oracle);
		figures.put("late_share", books.lateShare());
		return figures;
	}

	private static List<String> describe(String name, OutcomeTable table, Books books) {
		List<String> lines = new ArrayList<>();
		lines.add(String.format(Locale.ROOT,
				"%-14s %8.1f micro-euros a request, %.3f attempts, %.4f explored, %.4f late, first token p95 %d ms, "
						+ "whole answer p95 %d ms",
				name, books.costPerRequest(), books.attemptsPerRequest(), books.exploredShare(), books.lateShare(),
				books.firstTokenP95(), books.wholeAnswerP95()));
		for (int i = 0; i < table.classes().size(); i++) {
			lines.add(String.format(Locale.ROOT, "%-14s   %-14s met %.4f of %.2f, %8.1f micro-euros", "",
					table.classes().get(i).id(), books.met(i), table.classes().get(i).qualityTarget(),
					books.costOf(i)));
		}
		return lines;
	}

}
