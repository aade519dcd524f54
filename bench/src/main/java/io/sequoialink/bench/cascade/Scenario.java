package io.sequoialink.bench.cascade;

/**
 * What goes wrong during a run, by share of its requests. Immutable and thread-safe.
 *
 * @param outageFrom share of the requests after which the rating service is down
 * @param outageTo share of the requests after which it is back
 * @param driftFrom share of the requests after which a version turns worse
 * @param driftVersion index of that version
 * @param driftFactor factor on its chances
 */
record Scenario(double outageFrom, double outageTo, double driftFrom, int driftVersion, double driftFactor) {

	/** Nothing goes wrong. */
	static final Scenario NONE = new Scenario(2, 2, 2, 0, 1);

	static Scenario outage(double from, double to) {
		return new Scenario(from, to, 2, 0, 1);
	}

	static Scenario drift(double from, int version, double factor) {
		return new Scenario(2, 2, from, version, factor);
	}

	double factor(double progress, int version) {
		return (progress >= this.driftFrom && version == this.driftVersion) ? this.driftFactor : 1;
	}

	boolean ratingsDown(double progress) {
		return progress >= this.outageFrom && progress < this.outageTo;
	}

}
