package io.sequoialink.bench.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.Target;

/**
 * Measures what is left of the capacity when more is offered. The fields give the worst
 * over the offered loads. Stateless and thread-safe.
 */
public final class OverloadExperiment implements Experiment {

	private static final double[] LOADS = { 1, 2, 4 };

	/** Load without the large account, to which its small ones are compared. */
	private static final double UNLOADED = 0;

	@Override
	public String name() {
		return "overload";
	}

	@Override
	public String question() {
		return "What do callers still get when 1, 2 and 4 times the capacity is offered?";
	}

	@Override
	public String baselines() {
		return "no admission and always two retries, on the same arrivals";
	}

	@Override
	public List<Target> targets() {
		return List.of(Target.atLeast("goodput_vs_capacity", 0.9), Target.atMost("small_account_p95_ratio", 1.5),
				Target.atMost("retry_amplification", 1.1), Target.atMost("lost", 0));
	}

	@Override
	public ExperimentResult run(ExperimentOptions options) {
		double unloaded = new OverloadRun(options.hosts(), true, options.seed()).run(UNLOADED).smallP95();
		List<String> notes = new ArrayList<>();
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		double goodput = Double.MAX_VALUE;
		double ratio = 0;
		double amplification = 0;
		int requests = 0;
		int late = 0;
		int lost = 0;
		for (double load : LOADS) {
			OverloadRun.Books books = new OverloadRun(options.hosts(), true, options.seed()).run(load);
			OverloadRun.Books bare = new OverloadRun(options.hosts(), false, options.seed()).run(load);
			goodput = Math.min(goodput, books.goodput());
			ratio = Math.max(ratio, books.smallP95() / unloaded);
			amplification = Math.max(amplification, books.amplification());
			requests += books.offered;
			late += books.late;
			lost += books.offered - books.refused - books.ended;
			notes.add(describe("limited", load, books, unloaded));
			notes.add(describe("bare", load, bare, unloaded));
		}
		figures.put("requests", requests);
		figures.put("lost", lost);
		figures.put("goodput_vs_capacity", goodput);
		figures.put("small_account_p95_ratio", ratio);
		figures.put("retry_amplification", amplification);
		figures.put("late_answers", late);
		return new ExperimentResult(figures, notes, Map.of());
	}

	private static String describe(String name, double load, OverloadRun.Books books, double unloaded) {
		return String.format(Locale.ROOT,
				"%-8s load %.0f: offered %d, refused %d, goodput %.3f of capacity, small p95 %.0f ms (%.2f of %.0f),"
						+ " amplification %.3f, late %d",
				name, load, books.offered, books.refused, books.goodput(), books.smallP95(),
				books.smallP95() / unloaded, unloaded, books.amplification(), books.late);
	}

}
