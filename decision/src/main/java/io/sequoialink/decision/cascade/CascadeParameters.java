package io.sequoialink.decision.cascade;

/**
 * Settings of {@link AdaptiveCascadePolicy}. Immutable and thread-safe.
 *
 * @param passMark rating from which an answer counts as good, in (0, 1)
 * @param ratingNoise standard deviation of ratings around the true score that is assumed
 * until it can be estimated from ratings, in (0, 0.5]
 * @param ratingWaitMillis expected time until a rating arrives, in milliseconds, at least
 * 0
 * @param priorCheapest probability of a good answer (success probability) that is assumed
 * for the cheapest version before it has ratings, in (0, 1)
 * @param priorDearest probability of a good answer (success probability) that is assumed
 * for the most expensive version before it has ratings, in (0, 1)
 * @param priorStrength number of rated answers to which the assumed success probability
 * is equivalent when it is combined with ratings, above 0
 * @param failureDiscount factor applied to the success probability of a version after the
 * answer of a cheaper version to the same request was not good, before there are ratings
 * for that case, in (0, 1]
 * @param evidenceWindow number of answers after which earlier ratings have lost most of
 * their weight, at least 100
 * @param explorationShare share of first attempts that go to a version with too few
 * ratings, in [0, 0.2]
 * @param explorationFloor number of rated answers below which a version counts as one
 * with too few ratings and gets the first attempts set by {@code explorationShare}, at
 * least 0
 * @param driftShare share of first attempts that go to a random version, to notice
 * changes of its quality, in [0, 0.1]
 * @param startPrice price of a good answer (what one more good answer may cost) before
 * there are ratings, as a multiple of the cost of an answer of the most expensive
 * version, above 0; a higher price makes the start more cautious, since more expensive
 * versions are chosen
 * @param priceGain relative change of the price of a good answer for each answer by which
 * the number of good answers is below or above the quality target, in (0, 1)
 * @param urgency shortfall (number of good answers by which the quality target is missed)
 * at which the price rises by twice as much as {@code priceGain} says, at least 1
 * @param priceMemory number of answers over which the base price (the price while the
 * shortfall is zero) follows the price that was needed to meet the target, at least 10
 * @param safety safety margin above the quality target, in standard deviations of the
 * estimated number of good answers, which is uncertain because of answers without a
 * rating, at least 0
 * @param targetWindow number of answers over which the share of good answers has to reach
 * the quality target of the request class, at least 100; the weight of older answers
 * decays exponentially
 * @param answerShare expected number of tokens of an answer, as a share of the maximum
 * that the request allows, in (0, 1]
 * @param answerSpread largest deviation from the expected answer length that the choice
 * of the first version takes into account, as a share of the expected length, in [0, 0.9]
 * @param lengthTrust exponent with which the length of one version's answer predicts the
 * length of the next version's answer; 0 ignores it, in [0, 1]
 * @param startSlack expected duration, as a multiple of the time left until the deadline,
 * above which a version is not chosen for the first attempt unless all versions exceed
 * it; at least 1
 * @param outageDiscount share by which the success probability of an unrated answer is
 * reduced while the rating service is down, which moves requests to more expensive
 * versions, in [0, 0.5]
 * @param missingMemory number of answers over which the share of answers without a rating
 * is averaged; that share shows whether the rating service is down; at least 1
 */
public record CascadeParameters(double passMark, double ratingNoise, double ratingWaitMillis, double priorCheapest,
		double priorDearest, double priorStrength, double failureDiscount, double evidenceWindow,
		double explorationShare, double explorationFloor, double driftShare, double startPrice, double priceGain,
		double urgency, double priceMemory, double safety, double targetWindow, double answerShare, double answerSpread,
		double lengthTrust, double startSlack, double outageDiscount, double missingMemory) {

	/** The default settings. */
	public static final CascadeParameters DEFAULT = new Builder().build();

	public CascadeParameters {
		require(passMark > 0 && passMark < 1, "passMark", passMark, "between 0 and 1");
		require(ratingNoise > 0 && ratingNoise <= 0.5, "ratingNoise", ratingNoise, "above 0 and up to 0.5");
		require(ratingWaitMillis >= 0, "ratingWaitMillis", ratingWaitMillis, "at least 0 ms");
		require(priorCheapest > 0 && priorCheapest < 1, "priorCheapest", priorCheapest, "between 0 and 1");
		require(priorDearest > 0 && priorDearest < 1, "priorDearest", priorDearest, "between 0 and 1");
		require(priorStrength > 0, "priorStrength", priorStrength, "above 0 answers");
		require(failureDiscount > 0 && failureDiscount <= 1, "failureDiscount", failureDiscount, "above 0 and up to 1");
		require(evidenceWindow >= 100, "evidenceWindow", evidenceWindow, "at least 100 answers");
		require(explorationShare >= 0 && explorationShare <= 0.2, "explorationShare", explorationShare, "0 to 0.2");
		require(explorationFloor >= 0, "explorationFloor", explorationFloor, "at least 0 answers");
		require(driftShare >= 0 && driftShare <= 0.1, "driftShare", driftShare, "0 to 0.1");
		require(startPrice > 0, "startPrice", startPrice, "above 0");
		require(priceGain > 0 && priceGain < 1, "priceGain", priceGain, "between 0 and 1");
		require(urgency >= 1, "urgency", urgency, "at least 1 answer");
		require(priceMemory >= 10, "priceMemory", priceMemory, "at least 10 answers");
		require(safety >= 0, "safety", safety, "at least 0 standard deviations");
		require(targetWindow >= 100, "targetWindow", targetWindow, "at least 100 answers");
		require(answerShare > 0 && answerShare <= 1, "answerShare", answerShare, "above 0 and up to 1");
		require(answerSpread >= 0 && answerSpread <= 0.9, "answerSpread", answerSpread, "0 to 0.9");
		require(lengthTrust >= 0 && lengthTrust <= 1, "lengthTrust", lengthTrust, "0 to 1");
		require(startSlack >= 1, "startSlack", startSlack, "at least 1");
		require(outageDiscount >= 0 && outageDiscount <= 0.5, "outageDiscount", outageDiscount, "0 to 0.5");
		require(missingMemory >= 1, "missingMemory", missingMemory, "at least 1 rating");
	}

	/**
	 * Returns a builder whose values are those of {@link #DEFAULT}.
	 * @return a new builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	private static void require(boolean valid, String name, double value, String accepted) {
		if (!valid) {
			throw new IllegalArgumentException("cascade." + name + " is " + value + ": use " + accepted);
		}
	}

	/**
	 * Builds parameters. Confined to one thread.
	 */
	public static final class Builder {

		private double passMark = 0.5;

		private double ratingNoise = 0.07;

		private double ratingWaitMillis = 1000;

		private double priorCheapest = 0.6;

		private double priorDearest = 0.95;

		private double priorStrength = 4;

		private double failureDiscount = 0.85;

		private double evidenceWindow = 1000;

		private double explorationShare = 0.01;

		private double explorationFloor = 50;

		private double driftShare = 0.001;

		private double startPrice = 10;

		private double priceGain = 0.05;

		private double urgency = 10;

		private double priceMemory = 1000;

		private double safety = 4.5;

		private double targetWindow = 20_000;

		private double answerShare = 0.6;

		private double answerSpread = 0.4;

		private double lengthTrust = 0.8;

		private double startSlack = 1.25;

		private double outageDiscount = 0.05;

		private double missingMemory = 30;

		private Builder() {
		}

		/**
		 * Sets the rating from which an answer counts as good.
		 * @param value in (0, 1)
		 * @return this builder
		 */
		public Builder passMark(double value) {
			this.passMark = value;
			return this;
		}

		/**
		 * Sets the standard deviation of ratings around the true score that is assumed
		 * until it can be estimated from ratings.
		 * @param value in (0, 0.5]
		 * @return this builder
		 */
		public Builder ratingNoise(double value) {
			this.ratingNoise = value;
			return this;
		}

		/**
		 * Sets the expected time until a rating arrives.
		 * @param value in milliseconds, at least 0
		 * @return this builder
		 */
		public Builder ratingWaitMillis(double value) {
			this.ratingWaitMillis = value;
			return this;
		}

		/**
		 * Sets the probability of a good answer (success probability) that is assumed for
		 * the cheapest version before it has ratings.
		 * @param value in (0, 1)
		 * @return this builder
		 */
		public Builder priorCheapest(double value) {
			this.priorCheapest = value;
			return this;
		}

		/**
		 * Sets the probability of a good answer (success probability) that is assumed for
		 * the most expensive version before it has ratings.
		 * @param value in (0, 1)
		 * @return this builder
		 */
		public Builder priorDearest(double value) {
			this.priorDearest = value;
			return this;
		}

		/**
		 * Sets the number of rated answers to which the assumed success probability is
		 * equivalent when it is combined with ratings.
		 * @param value above 0
		 * @return this builder
		 */
		public Builder priorStrength(double value) {
			this.priorStrength = value;
			return this;
		}

		/**
		 * Sets the factor applied to the success probability of a version after the
		 * answer of a cheaper version to the same request was not good, before there are
		 * ratings for that case.
		 * @param value in (0, 1]
		 * @return this builder
		 */
		public Builder failureDiscount(double value) {
			this.failureDiscount = value;
			return this;
		}

		/**
		 * Sets the number of answers after which earlier ratings have lost most of their
		 * weight.
		 * @param value at least 100
		 * @return this builder
		 */
		public Builder evidenceWindow(double value) {
			this.evidenceWindow = value;
			return this;
		}

		/**
		 * Sets the share of first attempts that go to a version with too few ratings.
		 * @param value in [0, 0.2]
		 * @return this builder
		 */
		public Builder explorationShare(double value) {
			this.explorationShare = value;
			return this;
		}

		/**
		 * Sets the number of rated answers below which a version counts as one with too
		 * few ratings and gets the first attempts set by {@code explorationShare}.
		 * @param value at least 0
		 * @return this builder
		 */
		public Builder explorationFloor(double value) {
			this.explorationFloor = value;
			return this;
		}

		/**
		 * Sets the share of first attempts that go to a random version, to notice changes
		 * of its quality.
		 * @param value in [0, 0.1]
		 * @return this builder
		 */
		public Builder driftShare(double value) {
			this.driftShare = value;
			return this;
		}

		/**
		 * Sets the price of a good answer (what one more good answer may cost) before
		 * there are ratings, as a multiple of the cost of an answer of the most expensive
		 * version; a higher price makes the start more cautious, since more expensive
		 * versions are chosen.
		 * @param value above 0
		 * @return this builder
		 */
		public Builder startPrice(double value) {
			this.startPrice = value;
			return this;
		}

		/**
		 * Sets the relative change of the price of a good answer for each answer by which
		 * the number of good answers is below or above the quality target.
		 * @param value in (0, 1)
		 * @return this builder
		 */
		public Builder priceGain(double value) {
			this.priceGain = value;
			return this;
		}

		/**
		 * Sets the shortfall (number of good answers by which the quality target is
		 * missed) at which the price rises by twice as much as {@code priceGain} says.
		 * @param value at least 1
		 * @return this builder
		 */
		public Builder urgency(double value) {
			this.urgency = value;
			return this;
		}

		/**
		 * Sets the number of answers over which the base price (the price while the
		 * shortfall is zero) follows the price that was needed to meet the target.
		 * @param value at least 10
		 * @return this builder
		 */
		public Builder priceMemory(double value) {
			this.priceMemory = value;
			return this;
		}

		/**
		 * Sets the safety margin above the quality target, in standard deviations of the
		 * estimated number of good answers, which is uncertain because of answers without
		 * a rating.
		 * @param value at least 0
		 * @return this builder
		 */
		public Builder safety(double value) {
			this.safety = value;
			return this;
		}

		/**
		 * Sets the number of answers over which the share of good answers has to reach
		 * the quality target of the request class; the weight of older answers decays
		 * exponentially.
		 * @param value at least 100
		 * @return this builder
		 */
		public Builder targetWindow(double value) {
			this.targetWindow = value;
			return this;
		}

		/**
		 * Sets the expected number of tokens of an answer, as a share of the maximum that
		 * the request allows.
		 * @param value in (0, 1]
		 * @return this builder
		 */
		public Builder answerShare(double value) {
			this.answerShare = value;
			return this;
		}

		/**
		 * Sets the largest deviation from the expected answer length that the choice of
		 * the first version takes into account, as a share of the expected length.
		 * @param value in [0, 0.9]
		 * @return this builder
		 */
		public Builder answerSpread(double value) {
			this.answerSpread = value;
			return this;
		}

		/**
		 * Sets the exponent with which the length of one version's answer predicts the
		 * length of the next version's answer; 0 ignores it.
		 * @param value in [0, 1]
		 * @return this builder
		 */
		public Builder lengthTrust(double value) {
			this.lengthTrust = value;
			return this;
		}

		/**
		 * Sets the expected duration, as a multiple of the time left until the deadline,
		 * above which a version is not chosen for the first attempt unless all versions
		 * exceed it.
		 * @param value at least 1
		 * @return this builder
		 */
		public Builder startSlack(double value) {
			this.startSlack = value;
			return this;
		}

		/**
		 * Sets the share by which the success probability of an unrated answer is reduced
		 * while the rating service is down, which moves requests to more expensive
		 * versions.
		 * @param value in [0, 0.5]
		 * @return this builder
		 */
		public Builder outageDiscount(double value) {
			this.outageDiscount = value;
			return this;
		}

		/**
		 * Sets the number of answers over which the share of answers without a rating is
		 * averaged; that share shows whether the rating service is down.
		 * @param value at least 1
		 * @return this builder
		 */
		public Builder missingMemory(double value) {
			this.missingMemory = value;
			return this;
		}

		/**
		 * Returns the parameters.
		 * @return validated parameters
		 * @throws IllegalArgumentException if one is out of its range
		 */
		public CascadeParameters build() {
			return new CascadeParameters(this.passMark, this.ratingNoise, this.ratingWaitMillis, this.priorCheapest,
					this.priorDearest, this.priorStrength, this.failureDiscount, this.evidenceWindow,
					this.explorationShare, this.explorationFloor, this.driftShare, this.startPrice, this.priceGain,
					this.urgency, this.priceMemory, this.safety, this.targetWindow, this.answerShare, this.answerSpread,
					this.lengthTrust, this.startSlack, this.outageDiscount, this.missingMemory);
		}

	}

}
