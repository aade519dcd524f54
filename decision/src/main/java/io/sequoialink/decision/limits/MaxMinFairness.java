package io.sequoialink.decision.limits;

import java.util.Collection;

/**
 * Max-min fair allocation of a capacity: demands below an even split are met completely,
 * and what they leave is split evenly between the others. Stateless and thread-safe.
 */
final class MaxMinFairness {

	private MaxMinFairness() {
	}

	/**
	 * Returns the fair level: the amount up to which each demand is met.
	 * @param demands the demands, each at least 0
	 * @param capacity the capacity to allocate
	 * @return the level; infinite if all demands are met completely
	 */
	static double level(Collection<Double> demands, double capacity) {
		double[] sorted = demands.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		double remaining = capacity;
		for (int i = 0; i < sorted.length; i++) {
			double even = remaining / (sorted.length - i);
			if (sorted[i] > even) {
				return even;
			}
			remaining -= sorted[i];
		}
		return Double.POSITIVE_INFINITY;
	}

}
