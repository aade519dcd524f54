package io.sequoialink.decision.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes the ratio of the engine time that a request takes to its value, relative to
 * other requests. Under overload, requests with the highest ratio are restricted first.
 * Confined to one thread.
 *
 * <p>
 * The engine time is assumed to be proportional to the prompt size; the value is assumed
 * to grow with the prompt size up to a maximum. Requests of lower priority have a lower
 * value.
 */
public final class RequestCostRatio {

	/** Share of a request's value that does not depend on its size. */
	private static final double FIXED_VALUE = 0.3;

	/** Multiple of the mean size above which the value no longer grows. */
	private static final double MAX_VALUED_SIZE = 4;

	/** Factor of the highest priority; each lower priority adds a fixed step to it. */
	private static final double HIGHEST_PRIORITY_FACTOR = 0.6;

	private static final double PRIORITY_STEP = 0.4;

	private static final int LOWEST_PRIORITY = 4;

	private static final double MIN_WEIGHT = 0.02;

	private final Map<String, MeanSize> meanSizes = new HashMap<>();

	/**
	 * Adds the size of a request to the mean of its route.
	 * @param route name of its route
	 * @param tokens tokens of its prompt
	 */
	public void observe(String route, int tokens) {
		this.meanSizes.computeIfAbsent(route, (name) -> new MeanSize()).add(tokens);
	}

	/**
	 * Returns the ratio of a request's engine time to its value.
	 * @param route name of its route
	 * @param tokens tokens of its prompt
	 * @param priority priority of its route or account, 0 is the highest
	 * @return the ratio; 1 for a request of mean size and priority 1
	 */
	public double ratio(String route, int tokens, int priority) {
		MeanSize meanSize = this.meanSizes.get(route);
		double size = (meanSize != null && meanSize.mean > 0) ? tokens / meanSize.mean : 1;
		double bySize = size / (FIXED_VALUE + (1 - FIXED_VALUE) * Math.min(size, MAX_VALUED_SIZE));
		return bySize * (HIGHEST_PRIORITY_FACTOR + PRIORITY_STEP * Math.max(0, Math.min(LOWEST_PRIORITY, priority)));
	}

	/**
	 * Mean prompt size of the requests of one route, in tokens; recent requests keep a
	 * minimum weight, so that it follows changes. Accessed only by the enclosing object.
	 */
	private static final class MeanSize {

		private double mean;

		private long count;

		private void add(int tokens) {
			this.count++;
			this.mean += Math.max(MIN_WEIGHT, 1.0 / this.count) * (tokens - this.mean);
		}

	}

}
