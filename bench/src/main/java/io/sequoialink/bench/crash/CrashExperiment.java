package io.sequoialink.bench.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.Target;

/**
 * Measures how many servers one request crashes that is sent again through all hosts. The
 * fields give the worst of several inner seeds. Stateless and thread-safe.
 */
public final class CrashExperiment implements Experiment {

	private static final int SEEDS = 20;

	private static final int QUICK_SEEDS = 5;

	private static final long SEED_STRIDE = 7_919;

	@Override
	public String name() {
		return "crash";
	}

	@Override
	public String question() {
		return "How many servers does one request crash that its caller sends again through all hosts?";
	}

	@Override
	public String baselines() {
		return "no guard, on the same requests and failures";
	}

	@Override
	public List<Target> targets() {
		return List.of(Target.atMost("servers_crashed", 2), Target.atMost("innocent_refused", 0),
				Target.atMost("lost", 0));
	}

	@Override
	public ExperimentResult run(ExperimentOptions options) {
		int seeds = options.quick() ? QUICK_SEEDS : SEEDS;
		List<String> notes = new ArrayList<>();
		List<CrashRun.Books> guarded = runs(options, true, seeds);
		List<CrashRun.Books> bare = runs(options, false, seeds);
		for (int i = 0; i < seeds; i++) {
			CrashRun.Books books = guarded.get(i);
			notes.add(String.format(Locale.ROOT,
					"inner seed %2d: crashed %d (without guard %d), innocent %d answered %d refused %d expired %d,"
							+ " waits %d, brakes %s",
					i, books.crashedByPoison, bare.get(i).crashedByPoison, books.innocent, books.innocentAnswered,
					books.innocentRefused, books.innocentExpired, books.waits, books.brakes));
		}
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("requests", guarded.stream().mapToInt((books) -> books.innocent + books.resent).sum());
		figures.put("lost",
				guarded.stream()
					.mapToInt((books) -> books.innocent - books.innocentAnswered - books.innocentRefused)
					.sum());
		figures.put("servers_crashed", guarded.stream().mapToInt((books) -> books.crashedByPoison).max().orElse(0));
		figures.put("servers_crashed_unguarded",
				bare.stream().mapToInt((books) -> books.crashedByPoison).max().orElse(0));
		figures.put("innocent_refused", guarded.stream().mapToInt((books) -> books.innocentRefused).sum());
		figures.put("innocent_waits", guarded.stream().mapToInt((books) -> books.waits).sum());
		figures.put("resent", guarded.stream().mapToInt((books) -> books.resent).min().orElse(0));
		return new ExperimentResult(figures, notes, Map.of());
	}

	private static List<CrashRun.Books> runs(ExperimentOptions options, boolean guarded, int seeds) {
		return IntStream.range(0, seeds)
			.mapToObj((i) -> new CrashRun(options.hosts(), guarded, options.seed() * SEED_STRIDE + i).run())
			.toList();
	}

}
