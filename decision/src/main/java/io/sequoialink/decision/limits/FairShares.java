package io.sequoialink.decision.limits;

import java.util.Collection;

/**
 * Max-min fairness: what each may have of a capacity if those who want less than an even
 * part leave the rest to the others. Stateless and thread-safe.
 */
final class FairShares {

	private FairShares() {
	}

	/**
	 * Returns the level up to which every demand is met.
	 * @param demands what each wants, at least 0
	 * @param capacity what there is
	 * @return the level; infinite if all demands are met
	 */
	static double level(Collection<Double> demands, double capacity) {
		double[] sorted = demands.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		double left = capacity;
		for (int i = 0; i < sorted.length; i++) {
			double even = left / (sorted.length - i);
			if (sorted[i] > even) {
				return even;
			}
			left -= sorted[i];
		}
		return Double.POSITIVE_INFINITY;
	}

}
