package io.sequoialink.decision.cascade;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Chooses among models by their own opinion of an answer, which arrives before the
 * answer's first part. Starts with the smallest model that is worth a try; drops an
 * answer in favour of a larger model when the gain in the chance of a good answer
 * outweighs the price. Confined to one thread.
 *
 * <p>
 * The chance of a good answer is a logistic function of the opinion. What a larger model
 * gains is learnt from its own opinions of answers that smaller models gave up.
 */
public final class ConfidenceCascade {

	/** Opinion at which a good answer is as likely as a bad one. */
	private static final double EVEN_OPINION = 50;

	/** Share of the starts that try the smallest model though it seldom suffices. */
	private static final int EXPLORE_ONE_IN = 20;

	/** Weight of a new observation once many are known. */
	private static final double MIN_WEIGHT = 0.01;

	/**
	 * Chance that a middle model is taken to have of a good answer before it is learnt.
	 */
	private static final double MIDDLE_PRIOR = 0.5;

	/** Strain below which the largest model may be asked first. */
	private static final double CALM = 0.5;

	/** Observations after which a prior counts for nothing. */
	private static final double TRUSTED_COUNT = 8;

	private final Options options;

	private final Map<String, Learnt> learnt = new HashMap<>();

	private long starts;

	/**
	 * Creates a cascade that has learnt nothing.
	 * @param options how answers are weighed against prices
	 */
	public ConfidenceCascade(Options options) {
		this.options = options;
	}

	/**
	 * Chooses the model to start with: the smallest one, unless it is seldom accepted or
	 * only the largest model alone would still be on time.
	 * @param route name of the route
	 * @param timing when answers of each model would begin
	 * @param strain how hard pressed the engines are, 0 if not at all
	 * @return index of the model
	 */
	public int start(String route, Timing timing, double strain) {
		this.starts++;
		int largest = timing.millis().size() - 1;
		if (largest < 1) {
			return 0;
		}
		if (strain < CALM && timing.onlyAlone(largest)) {
			return largest;
		}
		double accepted = learnt(route, 0, 0).value(0.5);
		boolean worthwhile = accepted >= this.options.minAcceptShare();
		return (worthwhile || this.starts % EXPLORE_ONE_IN == 0) ? 0 : largest;
	}

	/**
	 * Judges an answer by its model's opinion.
	 * @param route name of the route
	 * @param model index of the model
	 * @param opinion the opinion, from 0 to 100
	 * @param prices price of each model, smallest first
	 * @param timing when answers of each model would begin if asked now
	 * @param strain how hard pressed the engines are, 0 if not at all; it raises the
	 * weight of prices
	 * @return index of a larger model to ask instead, or empty to accept the answer
	 */
	public OptionalInt judge(String route, int model, int opinion, List<Double> prices, Timing timing, double strain) {
		double chance = chance(opinion);
		double dearest = prices.get(prices.size() - 1);
		double best = chance;
		int choice = -1;
		for (int larger = model + 1; larger < prices.size(); larger++) {
			double gain = learnt(route, model, larger).value((larger < prices.size() - 1) ? MIDDLE_PRIOR : 1);
			double weight = this.options.priceWeight() * (1 + strain);
			double price = (dearest > 0) ? weight * prices.get(larger) / dearest : 0;
			double worth = gain * timing.worth(larger) - price;
			if (worth > best) {
				best = worth;
				choice = larger;
			}
		}
		if (model == 0) {
			learnt(route, 0, 0).observe((choice < 0) ? 1 : 0);
		}
		return (choice < 0) ? OptionalInt.empty() : OptionalInt.of(choice);
	}

	/**
	 * Learns from the opinion that a larger model has of a request that a smaller model's
	 * answer was dropped for.
	 * @param route name of the route
	 * @param from index of the smaller model
	 * @param to index of the larger model
	 * @param opinion the larger model's opinion
	 */
	public void escalated(String route, int from, int to, int opinion) {
		learnt(route, from, to).observe(chance(opinion));
	}

	private double chance(int opinion) {
		return 1 / (1 + Math.exp((EVEN_OPINION - opinion) / this.options.opinionScale()));
	}

	private Learnt learnt(String route, int from, int to) {
		return this.learnt.computeIfAbsent(route + '/' + from + '/' + to, (key) -> new Learnt());
	}

	/**
	 * A mean that follows slow changes. Confined to its cascade.
	 */
	private static final class Learnt {

		private double mean;

		private long count;

		private void observe(double value) {
			this.count++;
			double weight = Math.max(MIN_WEIGHT, 1.0 / this.count);
			this.mean += weight * (value - this.mean);
		}

		private double value(double prior) {
			double trust = Math.min(1, this.count / TRUSTED_COUNT);
			return trust * this.mean + (1 - trust) * prior;
		}

	}

	/**
	 * How answers are weighed against prices. Immutable.
	 *
	 * @param opinionScale change of the opinion that changes the odds by e
	 * @param priceWeight chance of a good answer that the price of the dearest model is
	 * worth
	 * @param minAcceptShare share of accepted answers below which the smallest model is
	 * skipped
	 */
	public record Options(double opinionScale, double priceWeight, double minAcceptShare) {

		/** Values that were measured on the users' deployments. */
		public static final Options DEFAULT = new Options(12, 0.3, 0.1);

	}

	/**
	 * When answers would begin. Immutable.
	 *
	 * @param millis time until an answer of each model would begin, smallest model first,
	 * in milliseconds
	 * @param leftMillis time that is left until answers count as late, in milliseconds; 0
	 * if they never do
	 */
	public record Timing(List<Double> millis, double leftMillis) {

		/** What a late answer is worth beside one on time. */
		private static final double LATE_WORTH = 0.35;

		/** Part of the time that is left which an estimate may fill. */
		private static final double SAFE_PART = 0.8;

		/**
		 * Returns the timing of models that are all prompt.
		 * @param models number of models
		 * @return the timing
		 */
		public static Timing prompt(int models) {
			return new Timing(Collections.nCopies(models, 0.0), 0);
		}

		private double worth(int model) {
			return (this.leftMillis <= 0 || this.millis.get(model) <= this.leftMillis) ? 1 : LATE_WORTH;
		}

		private boolean onlyAlone(int model) {
			if (this.leftMillis <= 0) {
				return false;
			}
			double alone = this.millis.get(model);
			return alone <= SAFE_PART * this.leftMillis && this.millis.get(0) + alone > SAFE_PART * this.leftMillis;
		}

	}

}
