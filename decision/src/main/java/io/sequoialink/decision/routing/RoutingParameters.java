package io.sequoialink.decision.routing;

/**
 * Settings of {@link LoadAwareServerPolicy}. Immutable and thread-safe.
 *
 * <p>
 * The occupancy of a server is the number of its running and queued requests, divided by
 * the maximum number of requests in its batch. All costs are relative to that of a server
 * with occupancy 1 (a full batch). The owner of a prompt prefix is the server that
 * rendezvous hashing assigns to the prefix; it is the same one on all hosts, so its
 * prefix cache probably contains the prefix.
 *
 * @param reportHalfLifeMillis age at which a load report has half its weight relative to
 * the mean of all reports, in milliseconds, at least 1
 * @param samples number of randomly drawn servers that are compared, at least 2
 * @param steepness exponent with which the load cost of a server grows with its
 * occupancy, in [1, 32]
 * @param zoneDetour cost that a server in another availability zone has in addition,
 * relative to the cost of a full batch, in [0, 1]
 * @param affinityBound occupancy of a prefix's owner, as a multiple of the mean occupancy
 * of the servers, up to which {@code ownerShare} reduces its cost, at least 1
 * @param prefixCredit cost reduction of a server that has the whole prompt in its prefix
 * cache, relative to the cost of a full batch; for a part of the prompt, it is
 * proportionally smaller, in [0, 2]
 * @param ownerShare share of a prompt that is assumed to be in the prefix cache of the
 * prefix's owner, the server that rendezvous hashing assigns to the prefix, in [0, 1]
 * @param slowStartMillis time over which the probability that a new server is considered
 * for a request rises to 1, in milliseconds, at least 0
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
	 * Returns a builder whose values are those of {@link #DEFAULT}.
	 * @return a new builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	private static void require(boolean valid, String name, double value, String accepted) {
		if (!valid) {
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
		 * Sets the age at which a load report has half its weight relative to the mean of
		 * all reports.
		 * @param value in milliseconds, at least 1
		 * @return this builder
		 */
		public Builder reportHalfLifeMillis(double value) {
			this.reportHalfLifeMillis = value;
			return this;
		}

		/**
		 * Sets the number of randomly drawn servers that are compared.
		 * @param value at least 2
		 * @return this builder
		 */
		public Builder samples(int value) {
			this.samples = value;
			return this;
		}

		/**
		 * Sets the exponent with which the load cost of a server grows with its
		 * occupancy.
		 * @param value in [1, 32]
		 * @return this builder
		 */
		public Builder steepness(double value) {
			this.steepness = value;
			return this;
		}

		/**
		 * Sets the cost that a server in another availability zone has in addition,
		 * relative to the cost of a full batch.
		 * @param value in [0, 1]
		 * @return this builder
		 */
		public Builder zoneDetour(double value) {
			this.zoneDetour = value;
			return this;
		}

		/**
		 * Sets the occupancy of a prefix's owner, as a multiple of the mean occupancy of
		 * the servers, up to which {@code ownerShare} reduces its cost.
		 * @param value at least 1
		 * @return this builder
		 */
		public Builder affinityBound(double value) {
			this.affinityBound = value;
			return this;
		}

		/**
		 * Sets the cost reduction of a server that has the whole prompt in its prefix
		 * cache, relative to the cost of a full batch; for a part of the prompt, it is
		 * proportionally smaller.
		 * @param value in [0, 2]
		 * @return this builder
		 */
		public Builder prefixCredit(double value) {
			this.prefixCredit = value;
			return this;
		}

		/**
		 * Sets the share of a prompt that is assumed to be in the prefix cache of the
		 * prefix's owner, the server that rendezvous hashing assigns to the prefix.
		 * @param value in [0, 1]
		 * @return this builder
		 */
		public Builder ownerShare(double value) {
			this.ownerShare = value;
			return this;
		}

		/**
		 * Sets the time over which the probability that a new server is considered for a
		 * request rises to 1.
		 * @param value in milliseconds, at least 0
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
