package io.sequoialink.decision.routing;

/**
 * Settings of {@link LoadAwareServerPolicy}. Immutable and thread-safe.
 *
 * @param reportHalfLifeMillis age at which a report counts half against the mean of all
 * reports, in milliseconds, at least 1
 * @param samples servers that are drawn and compared, at least 2
 * @param steepness power in [1, 32] of a server's occupancy that its wait grows with
 * @param zoneDetour cost of another zone, in costs of a full batch, in [0, 1]
 * @param affinityBound load, as a multiple of the mean, up to which the owner of a prefix
 * is credited; at least 1
 * @param prefixCredit credit of a wholly cached prompt, in costs of a full batch, in [0,
 * 2]
 * @param ownerShare share in [0, 1] of a prompt that the owner of its prefix is taken to
 * hold
 * @param slowStartMillis time over which a new server comes to its full share, in
 * milliseconds, at least 0
 */
public record RoutingParameters(double reportHalfLifeMillis, int samples, double steepness, double zoneDetour,
		double affinityBound, double prefixCredit, double ownerShare, double slowStartMillis) {

	/** The default settings. */
	public static final RoutingParameters DEFAULT = new Builder().build();

	public RoutingParameters {
		require(reportHalfLifeMillis >= 1, "reportHalfLifeMillis", reportHalfLifeMillis, "at least 1 ms");
		require(samples >= 2, "samples", samples, "at least 2 servers");
		require(steepness >= 1 && steepness <= 32, "steepness", steepness, "1 to 32");
		require(ownerShare >= 0 && ownerShare <= 1, "ownerShare", ownerShare, "0 to 1");
		require(zoneDetour >= 0 && zoneDetour <= 1, "zoneDetour", zoneDetour, "0 to 1");
		require(affinityBound >= 1, "affinityBound", affinityBound, "at least 1");
		require(prefixCredit >= 0 && prefixCredit <= 2, "prefixCredit", prefixCredit, "0 to 2");
		require(slowStartMillis >= 0, "slowStartMillis", slowStartMillis, "at least 0 ms");
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
			throw new IllegalArgumentException("routing." + name + " is " + value + ": use " + accepted);
		}
	}

	/**
	 * Builds parameters. Confined to one thread.
	 */
	public static final class Builder {

		private double reportHalfLifeMillis = 50;

		private int samples = 8;

		private double steepness = 8;

		private double zoneDetour = 0.004;

		private double affinityBound = 1.25;

		private double prefixCredit = 0.02;

		private double ownerShare = 0.5;

		private double slowStartMillis = 10_000;

		private Builder() {
		}

		/**
		 * Sets the report half life millis.
		 * @param value see {@link RoutingParameters#reportHalfLifeMillis()}
		 * @return this builder
		 */
		public Builder reportHalfLifeMillis(double value) {
			this.reportHalfLifeMillis = value;
			return this;
		}

		/**
		 * Sets the samples.
		 * @param value see {@link RoutingParameters#samples()}
		 * @return this builder
		 */
		public Builder samples(int value) {
			this.samples = value;
			return this;
		}

		/**
		 * Sets the steepness.
		 * @param value see {@link RoutingParameters#steepness()}
		 * @return this builder
		 */
		public Builder steepness(double value) {
			this.steepness = value;
			return this;
		}

		/**
		 * Sets the zone detour.
		 * @param value see {@link RoutingParameters#zoneDetour()}
		 * @return this builder
		 */
		public Builder zoneDetour(double value) {
			this.zoneDetour = value;
			return this;
		}

		/**
		 * Sets the affinity bound.
		 * @param value see {@link RoutingParameters#affinityBound()}
		 * @return this builder
		 */
		public Builder affinityBound(double value) {
			this.affinityBound = value;
			return this;
		}

		/**
		 * Sets the prefix credit.
		 * @param value see {@link RoutingParameters#prefixCredit()}
		 * @return this builder
		 */
		public Builder prefixCredit(double value) {
			this.prefixCredit = value;
			return this;
		}

		/**
		 * Sets the owner share.
		 * @param value see {@link RoutingParameters#ownerShare()}
		 * @return this builder
		 */
		public Builder ownerShare(double value) {
			this.ownerShare = value;
			return this;
		}

		/**
		 * Sets the slow start millis.
		 * @param value see {@link RoutingParameters#slowStartMillis()}
		 * @return this builder
		 */
		public Builder slowStartMillis(double value) {
			this.slowStartMillis = value;
			return this;
		}

		/**
		 * Returns the parameters.
		 * @return validated parameters
		 * @throws IllegalArgumentException if one is out of its range
		 */
		public RoutingParameters build() {
			return new RoutingParameters(this.reportHalfLifeMillis, this.samples, this.steepness, this.zoneDetour,
					this.affinityBound, this.prefixCredit, this.ownerShare, this.slowStartMillis);
		}

	}

}
