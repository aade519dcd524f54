package io.sequoialink.bench.rollout;

/**
 * How a candidate is bad. Immutable and thread-safe.
 *
 * @param name the name of the case
 * @param failureShare share of its attempts that fail
 * @param ratingFactor factor on its ratings
 * @param slowness factor on the time of its answers and of their ratings
 * @param onset when it turns bad
 */
record Fault(String name, double failureShare, double ratingFactor, double slowness, Onset onset) {

	/** Share of a good version's attempts that fail. */
	static final double GOOD_FAILURE_SHARE = 0.01;

	/** A candidate equal to the version in force. */
	static final Fault NONE = new Fault("equal", GOOD_FAILURE_SHARE, 1, 1, Onset.START);

	static Fault failing(double share, Onset onset) {
		return new Fault("failures " + share + " " + onset.label(), share, 1, 1, onset);
	}

	static Fault ratedDown(double factor, double slowness, Onset onset) {
		String slow = (slowness > 1) ? " slow and rated late" : "";
		return new Fault("ratings x " + factor + slow + " " + onset.label(), GOOD_FAILURE_SHARE, factor, slowness,
				onset);
	}

	/** When a candidate turns bad. */
	enum Onset {

		/** From the start. */
		START,

		/** In the middle of its roll-out. */
		LATER,

		/** After its roll-out was completed. */
		COMPLETED;

		String label() {
			return switch (this) {
				case START -> "from the start";
				case LATER -> "later";
				case COMPLETED -> "after completion";
			};
		}

	}

}
