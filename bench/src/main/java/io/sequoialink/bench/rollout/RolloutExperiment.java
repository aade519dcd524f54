package io.sequoialink.bench.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

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
import io.sequoialink.decision.rollout.ExpectedSamples;
import io.sequoialink.decision.rollout.RolloutSettings;

/**
 * Measures how many requests a bad version serves before it stops. Each case is run over
 * inner seeds; its figures are their means, and the fields give the worst case. Stateless
 * and thread-safe.
 */
public final class RolloutExperiment implements Experiment {

	private static final int REQUESTS = 4_000;

	private static final int FALSE_STOP_SEEDS = 200;

	private static final int CASE_SEEDS = 12;

	private static final int QUICK_CASE_SEEDS = 4;

	private static final long SEED_STRIDE = 10_007;

	private static final double LOWERED_RATINGS = 0.8;

	private static final double SLOWNESS = 3;

	private final RolloutSettings settings = RolloutSettings.defaults();

	@Override
	public String name() {
		return "rollout";
	}

	@Override
	public String question() {
		return "How many requests does a bad version serve before it stops receiving traffic?";
	}

	@Override
	public String baselines() {
		return "the same guard on each host without shared evidence, on the same requests";
	}

	@Override
	public List<Target> targets() {
		return List.of(Target.atMost("exposed_vs_limit", 1), Target.atMost("exposed_vs_local_guard", 0.5),
				Target.atMost("false_stops", 0.01), Target.atMost("lost", 0), Target.atMost("missed", 0));
	}

	@Override
	public ExperimentResult run(ExperimentOptions options) throws ExperimentException {
		OutcomeTable table = OutcomeTable.of(options);
		int seeds = options.quick() ? QUICK_CASE_SEEDS : CASE_SEEDS;
		List<String> notes = new ArrayList<>();
		Map<String, List<Point>> series = new LinkedHashMap<>();
		List<CaseResult> results = new ArrayList<>();
		for (Fault fault : cases()) {
			CaseResult result = runCase(table, options, fault, seeds);
			results.add(result);
			notes.add(result.describe());
			series.put("exposed requests by seed: " + fault.name(),
					IntStream.range(0, seeds).mapToObj((i) -> new Point(i, result.shared().get(i).exposed)).toList());
		}
		List<RolloutBooks> equal = runs(table, options, Fault.NONE, true, FALSE_STOP_SEEDS);
		equal.stream().filter((books) -> books.brakes > 0).forEach((books) -> notes.add("false stop: " + books.reason));
		return new ExperimentResult(figures(results, equal), notes, series);
	}

	private static List<Fault> cases() {
		List<Fault> cases = new ArrayList<>();
		for (Fault.Onset onset : Fault.Onset.values()) {
			cases.add(Fault.failing(0.5, onset));
			cases.add(Fault.failing(0.1, onset));
			cases.add(Fault.ratedDown(LOWERED_RATINGS, 1, onset));
		}
		cases.add(Fault.ratedDown(LOWERED_RATINGS, SLOWNESS, Fault.Onset.START));
		return cases;
	}

	private CaseResult runCase(OutcomeTable table, ExperimentOptions options, Fault fault, int seeds) {
		List<RolloutBooks> shared = runs(table, options, fault, true, seeds);
		List<RolloutBooks> local = runs(table, options, fault, false, seeds);
		return new CaseResult(fault, shared, local, samples(table, options, fault));
	}

	private List<RolloutBooks> runs(OutcomeTable table, ExperimentOptions options, Fault fault, boolean shared,
			int seeds) {
		RolloutSettings used = shared ? this.settings
				: this.settings.withReferenceAnswers(Math.max(1, this.settings.referenceAnswers() / options.hosts()));
		return IntStream.range(0, seeds).parallel().mapToObj((i) -> {
			long seed = options.seed() * SEED_STRIDE + i;
			List<DrawnRequest> requests = RequestDraws.draw(table, seed, REQUESTS);
			return new RolloutRun(table, requests, fault, options.hosts(), shared, used, seed).run();
		}).toList();
	}

	// Returns the expected sample size of Wald's test that knows both hypotheses, at the
	// error rate of the test that is to find the fault: for later faults that of one
	// restart.
	private double samples(OutcomeTable table, ExperimentOptions options, Fault fault) {
		double alpha = (fault.onset() == Fault.Onset.START) ? this.settings.alpha() : this.settings.restartAlpha();
		double beta = this.settings.beta();
		if (fault.failureShare() > Fault.GOOD_FAILURE_SHARE) {
			return ExpectedSamples.failures(Fault.GOOD_FAILURE_SHARE, fault.failureShare(), alpha, beta);
		}
		double[] ratings = RequestDraws.draw(table, options.seed(), REQUESTS)
			.stream()
			.flatMapToDouble((request) -> request.rating(0, 1).stream())
			.toArray();
		double mean = IntStream.range(0, ratings.length).mapToDouble((i) -> ratings[i]).average().orElse(0);
		double variance = IntStream.range(0, ratings.length)
			.mapToDouble((i) -> (ratings[i] - mean) * (ratings[i] - mean))
			.average()
			.orElse(0);
		return ExpectedSamples.ratings((1 - fault.ratingFactor()) * mean, Math.sqrt(variance), alpha, beta);
	}

	private static ObjectNode figures(List<CaseResult> results, List<RolloutBooks> equal) {
		CaseResult worst = results.get(0);
		for (CaseResult result : results) {
			worst = (result.vsLimit() > worst.vsLimit()) ? result : worst;
		}
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("requests", REQUESTS * (equal.size() + results.stream().mapToInt((r) -> r.shared().size()).sum()));
		figures.put("lost",
				results.stream()
					.flatMap((result) -> result.shared().stream())
					.mapToInt((books) -> books.arrived - books.ended)
					.sum());
		figures.put("worst_case", worst.fault().name());
		figures.put("exposed_requests", worst.exposed());
		figures.put("sprt_limit", worst.limit());
		figures.put("exposed_vs_limit", worst.vsLimit());
		figures.put("exposed_vs_local_guard", results.stream().mapToDouble(CaseResult::vsLocal).max().orElse(0));
		figures.put("stop_ms", results.stream().mapToDouble(CaseResult::stopMillis).max().orElse(0));
		figures.put("missed", results.stream().mapToLong(CaseResult::missed).sum());
		figures.put("false_stops", equal.stream().filter((books) -> books.brakes > 0).count() / (double) equal.size());
		figures.put("good_rollout_ms",
				equal.stream()
					.filter((books) -> books.completedAt >= 0)
					.mapToLong((books) -> books.completedAt - books.startedAt)
					.average()
					.orElse(-1));
		figures.put("good_rollouts_unfinished", equal.stream().filter((books) -> books.completedAt < 0).count());
		return figures;
	}

	/** The runs of one case. Immutable by convention. */
	private record CaseResult(Fault fault, List<RolloutBooks> shared, List<RolloutBooks> local, double samples) {

		private static double mean(List<RolloutBooks> runs, ToDoubleFunction<RolloutBooks> figure) {
			return runs.stream().mapToDouble(figure).average().orElse(0);
		}

		private double exposed() {
			return mean(this.shared, (books) -> books.exposed - books.turnsAfterStop);
		}

		private double outstanding() {
			return (this.fault.onset() == Fault.Onset.COMPLETED) ? mean(this.shared, (books) -> books.inFlightAtOnset)
					: mean(this.shared, (books) -> books.creditsAtOnset);
		}

		private double limit() {
			return 2 * this.samples + outstanding();
		}

		private double vsLimit() {
			return exposed() / limit();
		}

		private double vsLocal() {
			return exposed() / Math.max(1, mean(this.local, (books) -> books.exposed - books.turnsAfterStop));
		}

		private double stopMillis() {
			return this.shared.stream()
				.filter(RolloutBooks::stopped)
				.mapToLong((books) -> books.stoppedAt - books.onsetAt)
				.average()
				.orElse(-1);
		}

		private long missed() {
			return this.shared.stream().filter((books) -> !books.stopped()).count();
		}

		private String describe() {
			int most = this.shared.stream().mapToInt((books) -> books.exposed - books.turnsAfterStop).max().orElse(0);
			return String.format(Locale.ROOT,
					"%-44s exposed %6.1f (most %d), limit %6.1f (2 x %.1f + %.1f), ratio %.2f, local guards %7.1f"
							+ " (%.2f), stop %.0f ms, missed %d, session turns after stop %.1f",
					this.fault.name(), exposed(), most, limit(), this.samples, outstanding(), vsLimit(),
					mean(this.local, (books) -> books.exposed - books.turnsAfterStop), vsLocal(), stopMillis(),
					missed(), mean(this.shared, (books) -> books.turnsAfterStop));
		}

	}

}
