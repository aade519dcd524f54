package io.sequoialink.decision.cascade;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Chooses a model by the confidence (0 to 100) that a model reports for its own answer;
 * the confidence arrives before the first part of the answer. Starts with the smallest
 * model unless its answers are seldom accepted. Drops an answer and escalates to a larger
 * model if the increase of the probability of a good answer outweighs the price. Confined
 * to one thread.
 *
 * <p>
 * The probability of a good answer is a logistic function of the confidence. The
 * probability that a larger model answers well where a smaller one did not is learnt from
 * the confidence of the larger model after past escalations.
 */
public final class ConfidenceCascade {

	/** Confidence at which a good answer is as likely as a bad one. */
	private static final double EVEN_CONFIDENCE = 50;

	/**
	 * One in this many requests starts with the smallest model although its answers are
	 * seldom accepted, to notice when that changes.
	 */
	private static final int EXPLORATION_INTERVAL = 20;

	/** Weight of a new observation in a mean of many observations. */
	private static final double MIN_WEIGHT = 0.01;

	/**
	 * Probability of a good answer that is assumed for a medium-sized model before there
	 * are observations.
	 */
	private static final double MIDDLE_PRIOR = 0.5;

	/** Latency pressure below which a request may start with the largest model. */
	private static final double LOW_PRESSURE = 0.5;

	/** Number of observations from which the prior has no more weight. */
	private static final double FULL_WEIGHT_COUNT = 8;

	private final Options options;

	private final Map<String, RunningMean> estimates = new HashMap<>();

	private long starts;

	/**
	 * Creates a cascade without observations.
	 * @param options how answer quality is weighed against price
	 */
	public ConfidenceCascade(Options options) {
		this.options = options;
	}

	/**
	 * Chooses the model to start with: the smallest one, unless its answers are seldom
	 * accepted, or the largest model would be on time only if it is asked first.
	 * @param route name of the route
	 * @param timing expected time to the first part of each model's answer
	 * @param latencyPressure current latency pressure, from 0 (none)
	 * @return index of the model, smallest model first
	 */
	public int start(String route, Timing timing, double latencyPressure) {
		this.starts++;
		int largest = timing.firstPartMillis().size() - 1;
		if (largest < 1) {
			return 0;
		}
		if (latencyPressure < LOW_PRESSURE && timing.onTimeOnlyIfFirst(largest)) {
			return largest;
		}
		double accepted = estimate(route, 0, 0).valueOr(0.5);
		boolean oftenAccepted = accepted >= this.options.minAcceptShare();
		return (oftenAccepted || this.starts % EXPLORATION_INTERVAL == 0) ? 0 : largest;
	}

	/**
	 * Decides by a model's confidence whether to accept its answer or to escalate.
	 * @param route name of the route
	 * @param model index of the model that answers
	 * @param confidence confidence of the model, from 0 to 100
	 * @param prices price of each model, smallest model first
	 * @param timing expected time to the first part of each model's answer if it is asked
	 * now
	 * @param latencyPressure current latency pressure, from 0 (none); it increases the
	 * weight of the prices
	 * @return index of the larger model to escalate to, or empty to accept the answer
	 */
	public OptionalInt evaluate(String route, int model, int confidence, List<Double> prices, Timing timing,
			double latencyPressure) {
		double probability = probability(confidence);
		double highestPrice = prices.get(prices.size() - 1);
		double best = probability;
		int choice = -1;
		for (int larger = model + 1; larger < prices.size(); larger++) {
			double gain = estimate(route, model, larger).valueOr((larger < prices.size() - 1) ? MIDDLE_PRIOR : 1);
			double weight = this.options.priceWeight() * (1 + latencyPressure);
			double price = (highestPrice > 0) ? weight * prices.get(larger) / highestPrice : 0;
			double value = gain * timing.valueFactor(larger) - price;
			if (value > best) {
				best = value;
				choice = larger;
			}
		}
		if (model == 0) {
			estimate(route, 0, 0).add((choice < 0) ? 1 : 0);
		}
		return (choice < 0) ? OptionalInt.empty() : OptionalInt.of(choice);
	}

	/**
	 * Records the confidence of a larger model after a smaller model's answer was
	 * dropped.
	 * @param route name of the route
	 * @param from index of the smaller model
	 * @param to index of the larger model
	 * @param confidence confidence of the larger model, from 0 to 100
	 */
	public void recordEscalation(String route, int from, int to, int confidence) {
		estimate(route, from, to).add(probability(confidence));
	}

	private double probability(int confidence) {
		return 1 / (1 + Math.exp((EVEN_CONFIDENCE - confidence) / this.options.confidenceScale()));
	}

	private RunningMean estimate(String route, int from, int to) {
		return this.estimates.computeIfAbsent(route + '/' + from + '/' + to, (key) -> new RunningMean());
	}

	/**
	 * A mean of observations in which recent ones keep a minimum weight, so that it
	 * follows slow changes. Accessed only by its cascade.
	 */
	private static final class RunningMean {

		private double mean;

		private long count;

		private void add(double value) {
			this.count++;
			double weight = Math.max(MIN_WEIGHT, 1.0 / this.count);
			this.mean += weight * (value - this.mean);
		}

		private double valueOr(double prior) {
			double dataWeight = Math.min(1, this.count / FULL_WEIGHT_COUNT);
			return dataWeight * this.mean + (1 - dataWeight) * prior;
		}

	}

	/**
	 * Settings that weigh answer quality against price. Immutable.
	 *
	 * @param confidenceScale increase of the confidence that multiplies the odds of a
	 * good answer by e
	 * @param priceWeight increase of the probability of a good answer that justifies the
	 * price of the most expensive model
	 * @param minAcceptShare share of accepted answers below which requests no longer
	 * start with the smallest model
	 */
	public record Options(double confidenceScale, double priceWeight, double minAcceptShare) {

		/** The default settings. */
		public static final Options DEFAULT = new Options(12, 0.3, 0.1);

	}

	/**
	 * Expected time to the first part of each model's answer. Immutable.
	 *
	 * @param firstPartMillis expected time to the first part of the answer of each model,
	 * in milliseconds, smallest model first
	 * @param remainingMillis time left until an answer counts as late, in milliseconds; 0
	 * if answers never count as late
	 */
	public record Timing(List<Double> firstPartMillis, double remainingMillis) {

		/** Value of a late answer relative to one that is on time. */
		private static final double LATE_VALUE = 0.35;

		/** Share of the time left that an estimate may use to count as on time. */
		private static final double MAX_TIME_SHARE = 0.8;

		/**
		 * Returns a timing in which all models answer without delay and no answer is
		 * late.
		 * @param models number of models
		 * @return the timing
		 */
		public static Timing immediate(int models) {
			return new Timing(Collections.nCopies(models, 0.0), 0);
		}

		private double valueFactor(int model) {
			return (this.remainingMillis <= 0 || this.firstPartMillis.get(model) <= this.remainingMillis) ? 1
					: LATE_VALUE;
		}

		private boolean onTimeOnlyIfFirst(int model) {
			if (this.remainingMillis <= 0) {
				return false;
			}
			double needed = this.firstPartMillis.get(model);
			return needed <= MAX_TIME_SHARE * this.remainingMillis
					&& this.firstPartMillis.get(0) + needed > MAX_TIME_SHARE * this.remainingMillis;
		}

	}

}
