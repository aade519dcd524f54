package io.sequoialink.bench.cascade;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;

import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.outcomes.DrawnRequest;
import io.sequoialink.bench.outcomes.OutcomeTable;
import io.sequoialink.bench.outcomes.RequestDraws;
import io.sequoialink.decision.cascade.AdaptiveCascadePolicy;
import io.sequoialink.decision.cascade.CascadeParameters;

/**
 * Prints the sensitivity table of {@code docs/design/0020-cascade.md}: one parameter
 * changed at a time, over several seeds and both deployments. Run by hand; not a test.
 */
public final class CascadeSweep {

	private static final int REQUESTS = 20_000;

	private CascadeSweep() {
	}

	public static void main(String[] arguments) throws ExperimentException {
		long from = (arguments.length > 0) ? Long.parseLong(arguments[0]) : 1;
		long to = (arguments.length > 1) ? Long.parseLong(arguments[1]) : 10;
		for (String deployment : List.of("magnolia", "bergvik")) {
			OutcomeTable table = OutcomeTable.deployment(deployment);
			changes().forEach((name, change) -> System.out
				.println(line(deployment, name, table, change.apply(CascadeParameters.builder()).build(), from, to)));
		}
	}

	private static String line(String deployment, String name, OutcomeTable table, CascadeParameters parameters,
			long from, long to) {
		List<double[]> results = LongStream.rangeClosed(from, to)
			.parallel()
			.mapToObj((seed) -> measure(table, parameters, seed))
			.toList();
		return String.format(Locale.ROOT, "| %s | %s | %.3f | %.2f | %+.4f | %d of %d |", deployment, name,
				mean(results, 0), mean(results, 1), results.stream().mapToDouble((result) -> result[2]).min().orElse(0),
				results.stream().filter((result) -> result[2] < 0).count(), results.size());
	}

	private static double[] measure(OutcomeTable table, CascadeParameters parameters, long seed) {
		List<DrawnRequest> requests = RequestDraws.draw(table, seed, REQUESTS);
		Books books = CascadeRun.run(table, requests, new AdaptiveCascadePolicy(parameters), Scenario.NONE, seed);
		Books dearest = CascadeRun.run(table, requests, Baselines.alwaysDearest(table), Scenario.NONE, seed);
		return new double[] { books.costPerRequest() / dearest.costPerRequest(),
				books.costPerRequest() / Baselines.oracleCost(requests), books.leastMargin() };
	}

	private static double mean(List<double[]> results, int index) {
		return Arrays.stream(results.toArray(new double[0][]))
			.mapToDouble((result) -> result[index])
			.average()
			.orElse(0);
	}

	private static Map<String, UnaryOperator<CascadeParameters.Builder>> changes() {
		Map<String, UnaryOperator<CascadeParameters.Builder>> changes = new LinkedHashMap<>();
		changes.put("defaults", (builder) -> builder);
		changes.put("ratingNoise 0.15", (builder) -> builder.ratingNoise(0.15));
		changes.put("ratingWaitMillis 0", (builder) -> builder.ratingWaitMillis(0));
		changes.put("ratingWaitMillis 3000", (builder) -> builder.ratingWaitMillis(3000));
		changes.put("priorCheapest 0.3", (builder) -> builder.priorCheapest(0.3));
		changes.put("priorStrength 20", (builder) -> builder.priorStrength(20));
		changes.put("failureDiscount 0.5", (builder) -> builder.failureDiscount(0.5));
		changes.put("evidenceWindow 4000", (builder) -> builder.evidenceWindow(4000));
		changes.put("evidenceWindow 200", (builder) -> builder.evidenceWindow(200));
		changes.put("explorationShare 0", (builder) -> builder.explorationShare(0));
		changes.put("explorationShare 0.05", (builder) -> builder.explorationShare(0.05));
		changes.put("driftShare 0.01", (builder) -> builder.driftShare(0.01));
		changes.put("startPrice 3", (builder) -> builder.startPrice(3));
		changes.put("startPrice 30", (builder) -> builder.startPrice(30));
		changes.put("priceGain 0.01", (builder) -> builder.priceGain(0.01));
		changes.put("priceGain 0.1", (builder) -> builder.priceGain(0.1));
		changes.put("urgency 100", (builder) -> builder.urgency(100));
		changes.put("priceMemory 200", (builder) -> builder.priceMemory(200));
		changes.put("priceMemory 5000", (builder) -> builder.priceMemory(5000));
		changes.put("safety 0", (builder) -> builder.safety(0));
		changes.put("safety 1", (builder) -> builder.safety(1));
		changes.put("safety 4", (builder) -> builder.safety(4));
		changes.put("targetWindow 5000", (builder) -> builder.targetWindow(5000));
		changes.put("answerShare 1", (builder) -> builder.answerShare(1));
		changes.put("answerSpread 0", (builder) -> builder.answerSpread(0));
		changes.put("lengthTrust 0", (builder) -> builder.lengthTrust(0));
		changes.put("startSlack 1", (builder) -> builder.startSlack(1));
		changes.put("missingMemory 300", (builder) -> builder.missingMemory(300));
		return changes;
	}

}
