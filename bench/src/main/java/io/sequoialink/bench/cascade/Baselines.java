package io.sequoialink.bench.cascade;

import java.util.List;

import io.sequoialink.bench.outcomes.DrawnRequest;
import io.sequoialink.bench.outcomes.OutcomeTable;
import io.sequoialink.bench.outcomes.RequestDraws;
import io.sequoialink.decision.cascade.FixedCascadePolicy;

/**
 * What the policy is compared with. Stateless and thread-safe.
 */
final class Baselines {

	private static final double[] THRESHOLDS = { 0, 0.3, 0.4, 0.45, 0.5, 0.55, 0.6, 0.7, 1.01 };

	private static final long SEPARATE_SEED = 0x5EED;

	private Baselines() {
	}

	static FixedCascadePolicy alwaysDearest(OutcomeTable table) {
		return new FixedCascadePolicy(table.versions().size() - 1, 0);
	}

	/**
	 * Returns the cost of an oracle that knows every draw.
	 * @param requests the requests
	 * @return micro-euros a request
	 */
	static double oracleCost(List<DrawnRequest> requests) {
		return requests.stream().mapToDouble((request) -> request.cost(request.oracleChoice())).average().orElse(0);
	}

	/**
	 * Finds the fixed cascade that meets every class's target at the least cost, or else
	 * the one that comes nearest, on a seed of its own.
	 * @param table the table of outcomes
	 * @param seed seed of the run, which is not used for the search itself
	 * @param count requests of the search
	 * @return the best fixed cascade
	 */
	static Fixed bestFixed(OutcomeTable table, long seed, int count) {
		List<DrawnRequest> requests = RequestDraws.draw(table, seed ^ SEPARATE_SEED, count);
		Fixed best = null;
		for (int tier = 0; tier < table.versions().size(); tier++) {
			for (double threshold : THRESHOLDS) {
				Books books = CascadeRun.run(table, requests, new FixedCascadePolicy(tier, threshold), Scenario.NONE,
						seed);
				Fixed fixed = new Fixed(tier, threshold, books.leastMargin(), books.costPerRequest());
				best = (best == null || fixed.betterThan(best)) ? fixed : best;
			}
		}
		return best;
	}

	/**
	 * A fixed cascade with what the search found. Immutable and thread-safe.
	 *
	 * @param tier index of the first version
	 * @param threshold rating below which it goes up
	 * @param margin least margin over the target of any class
	 * @param cost micro-euros a request
	 */
	record Fixed(int tier, double threshold, double margin, double cost) {

		FixedCascadePolicy policy() {
			return new FixedCascadePolicy(this.tier, this.threshold);
		}

		private boolean betterThan(Fixed other) {
			if (this.margin >= 0 && other.margin >= 0) {
				return this.cost < other.cost;
			}
			return this.margin > other.margin;
		}

	}

}
