package io.sequoialink.decision.cascade;

/**
 * Settings of {@link AdaptiveCascadePolicy}. Immutable and thread-safe.
 *
 * @param passMark rating in (0, 1) from which on an answer is good enough
 * @param ratingNoise standard deviation of ratings around the true score that is assumed
 * until ratings show it, in (0, 0.5]
 * @param ratingWaitMillis time that a rating is expected to take, in milliseconds, at
 * least 0
 * @param priorCheapest chance assumed of the cheapest version before any evidence, in (0,
 * 1)
 * @param priorDearest chance assumed of the dearest version before any evidence, in (0,
 * 1)
 * @param priorStrength answers that the assumed chance counts for, above 0
 * @param failureDiscount factor in (0, 1] on a version's chance for a request on which a
 * cheaper one has failed, before any evidence
 * @param evidenceWindow answers after which evidence has lost most of its weight, at
 * least 100
 * @param explorationShare share in [0, 0.2] of first attempts spent on a version of which
 * too little is known
 * @param explorationFloor answers of a version below which it is explored, at least 0
 * @param driftShare share in [0, 0.1] of first attempts spent on any version, to notice a
 * change
 * @param startPrice price of a good answer before any evidence, in costs of an answer of
 * the dearest version, above 0; a higher one makes a more cautious start
 * @param priceGain relative change of the price for each answer missed or gained, in (0,
 * 1)
 * @param urgency answers missed at which the price rises twice as fast as
 * {@code priceGain} says, at least 1
 * @param priceMemory answers over which the price follows what was needed to keep the
 * target, at least 10
 * @param safety standard deviations of what is not rated that the target is exceeded by,
 * at least 0
 * @param targetWindow answers over which the target is kept, at least 100
 * @param answerShare expected tokens of an answer as a share of the most allowed, in (0,
 * 1]
 * @param answerSpread half the range of lengths that are weighed at the start, as a share
 * of the expected length, in [0, 0.9]
 * @param lengthTrust power in [0, 1] with which the length of one version's answer
 * predicts that of the next
 * @param startSlack expected time, as a multiple of the time left, above which no version
 * is started; at least 1
 * @param outageDiscount share in [0, 0.5] by which the chance of an unrated answer is
 * lowered while the rating service is down, which moves requests to dearer versions
 * @param missingMemory ratings over which the share of missing ones is averaged, at least
 * 1
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
	 * Returns a builder with the defaults.
	 * @return a new builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	private static void require(boolean holds, String name, double value, String accepted) {
		if (!holds) {
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
		 * Sets the pass mark.
		 * @param value see {@link CascadeParameters#passMark()}
		 * @return this builder
		 */
		public Builder passMark(double value) {
			this.passMark = value;
			return this;
		}

		/**
		 * Sets the rating noise.
		 * @param value see {@link CascadeParameters#ratingNoise()}
		 * @return this builder
		 */
		public Builder ratingNoise(double value) {
			this.ratingNoise = value;
			return this;
		}

		/**
		 * Sets the rating wait millis.
		 * @param value see {@link CascadeParameters#ratingWaitMillis()}
		 * @return this builder
		 */
		public Builder ratingWaitMillis(double value) {
			this.ratingWaitMillis = value;
			return this;
		}

		/**
		 * Sets the prior cheapest.
		 * @param value see {@link CascadeParameters#priorCheapest()}
		 * @return this builder
		 */
		public Builder priorCheapest(double value) {
			this.priorCheapest = value;
			return this;
		}

		/**
		 * Sets the prior dearest.
		 * @param value see {@link CascadeParameters#priorDearest()}
		 * @return this builder
		 */
		public Builder priorDearest(double value) {
			this.priorDearest = value;
			return this;
		}

		/**
		 * Sets the prior strength.
		 * @param value see {@link CascadeParameters#priorStrength()}
		 * @return this builder
		 */
		public Builder priorStrength(double value) {
			this.priorStrength = value;
			return this;
		}

		/**
		 * Sets the failure discount.
		 * @param value see {@link CascadeParameters#failureDiscount()}
		 * @return this builder
		 */
		public Builder failureDiscount(double value) {
			this.failureDiscount = value;
			return this;
		}

		/**
		 * Sets the evidence window.
		 * @param value see {@link CascadeParameters#evidenceWindow()}
		 * @return this builder
		 */
		public Builder evidenceWindow(double value) {
			this.evidenceWindow = value;
			return this;
		}

		/**
		 * Sets the exploration share.
		 * @param value see {@link CascadeParameters#explorationShare()}
		 * @return this builder
		 */
		public Builder explorationShare(double value) {
			this.explorationShare = value;
			return this;
		}

		/**
		 * Sets the exploration floor.
		 * @param value see {@link CascadeParameters#explorationFloor()}
		 * @return this builder
		 */
		public Builder explorationFloor(double value) {
			this.explorationFloor = value;
			return this;
		}

		/**
		 * Sets the drift share.
		 * @param value see {@link CascadeParameters#driftShare()}
		 * @return this builder
		 */
		public Builder driftShare(double value) {
			this.driftShare = value;
			return this;
		}

		/**
		 * Sets the start price.
		 * @param value see {@link CascadeParameters#startPrice()}
		 * @return this builder
		 */
		public Builder startPrice(double value) {
			this.startPrice = value;
			return this;
		}

		/**
		 * Sets the price gain.
		 * @param value see {@link CascadeParameters#priceGain()}
		 * @return this builder
		 */
		public Builder priceGain(double value) {
			this.priceGain = value;
			return this;
		}

		/**
		 * Sets the urgency.
		 * @param value see {@link CascadeParameters#urgency()}
		 * @return this builder
		 */
		public Builder urgency(double value) {
			this.urgency = value;
			return this;
		}

		/**
		 * Sets the price memory.
		 * @param value see {@link CascadeParameters#priceMemory()}
		 * @return this builder
		 */
		public Builder priceMemory(double value) {
			this.priceMemory = value;
			return this;
		}

		/**
		 * Sets the safety.
		 * @param value see {@link CascadeParameters#safety()}
		 * @return this builder
		 */
		public Builder safety(double value) {
			this.safety = value;
			return this;
		}

		/**
		 * Sets the target window.
		 * @param value see {@link CascadeParameters#targetWindow()}
		 * @return this builder
		 */
		public Builder targetWindow(double value) {
			this.targetWindow = value;
			return this;
		}

		/**
		 * Sets the answer share.
		 * @param value see {@link CascadeParameters#answerShare()}
		 * @return this builder
		 */
		public Builder answerShare(double value) {
			this.answerShare = value;
			return this;
		}

		/**
		 * Sets the answer spread.
		 * @param value see {@link CascadeParameters#answerSpread()}
		 * @return this builder
		 */
		public Builder answerSpread(double value) {
			this.answerSpread = value;
			return this;
		}

		/**
		 * Sets the length trust.
		 * @param value see {@link CascadeParameters#lengthTrust()}
		 * @return this builder
		 */
		public Builder lengthTrust(double value) {
			this.lengthTrust = value;
			return this;
		}

		/**
		 * Sets the start slack.
		 * @param value see {@link CascadeParameters#startSlack()}
		 * @return this builder
		 */
		public Builder startSlack(double value) {
			this.startSlack = value;
			return this;
		}

		/**
		 * Sets the outage discount.
		 * @param value see {@link CascadeParameters#outageDiscount()}
		 * @return this builder
		 */
		public Builder outageDiscount(double value) {
			this.outageDiscount = value;
			return this;
		}

		/**
		 * Sets the missing memory.
		 * @param value see {@link CascadeParameters#missingMemory()}
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
