package io.sequoialink.decision.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * How much of an engine's time a request takes for what it is worth, beside others. Under
 * strain, what takes most for least gives way first. Confined to one thread.
 *
 * <p>
 * A request's worth is taken to grow with its size up to a bound, its time with its size
 * without one; less urgent routes count as worth less.
 */
public final class WorkDensity {

	/** Part of a request's worth that does not depend on its size. */
	private static final double FIXED_WORTH = 0.3;

	/** Multiple of the usual size beyond which a request is worth no more. */
	private static final double MOST_SIZE = 4;

	/** Density of the most urgent rank, and what each further rank adds. */
	private static final double FIRST_RANK = 0.6;

	private static final double EACH_RANK = 0.4;

	private static final int MOST_RANK = 4;

	private static final double MIN_WEIGHT = 0.02;

	private final Map<String, Usual> usual = new HashMap<>();

	/**
	 * Notes the size of a request.
	 * @param route name of its route
	 * @param tokens tokens of its prompt
	 */
	public void observe(String route, int tokens) {
		this.usual.computeIfAbsent(route, (name) -> new Usual()).observe(tokens);
	}

	/**
	 * Returns the density of a request.
	 * @param route name of its route
	 * @param tokens tokens of its prompt
	 * @param rank urgency of its route or account, 0 is the highest
	 * @return 1 for a request of usual size and the second rank
	 */
	public double of(String route, int tokens, int rank) {
		Usual known = this.usual.get(route);
		double size = (known != null && known.mean > 0) ? tokens / known.mean : 1;
		double bySize = size / (FIXED_WORTH + (1 - FIXED_WORTH) * Math.min(size, MOST_SIZE));
		return bySize * (FIRST_RANK + EACH_RANK * Math.max(0, Math.min(MOST_RANK, rank)));
	}

	/**
	 * The mean size of a route's requests. Confined to its owner.
	 */
	private static final class Usual {

		private double mean;

		private long count;

		private void observe(int tokens) {
			this.count++;
			this.mean += Math.max(MIN_WEIGHT, 1.0 / this.count) * (tokens - this.mean);
		}

	}

}
