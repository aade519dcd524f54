package io.sequoialink.decision.routing;

import io.sequoialink.decision.ServerView;

/**
 * Estimates a server's load as a share of its capacity from the requests that this host
 * has there and a report that counts the less the older it is. Immutable and thread-safe.
 */
final class LoadEstimate {

	/** Share of its load at which a server counts that has just come up. */
	private static final double LEAST_WARMTH = 0.1;

	private final RoutingParameters parameters;

	LoadEstimate(RoutingParameters parameters) {
		this.parameters = parameters;
	}

	/**
	 * Returns the estimated load. One request is added, so that of two idle servers the
	 * larger one counts as less loaded, and a new server counts as more loaded than it
	 * is.
	 * @param view what is known of the server
	 * @return load in units of its capacity
	 */
	double of(ServerView view) {
		double trust = (view.reportAgeMillis() < 0) ? 0
				: Math.pow(0.5, view.reportAgeMillis() / this.parameters.reportHalfLifeMillis());
		double reported = view.reportedRunning() + view.reportedQueued();
		double others = Math.max(0, reported - view.inFlight());
		double load = (view.inFlight() + trust * others + 1) / Math.max(1, view.capacity());
		return load / warmth(view.ageMillis());
	}

	private double warmth(long ageMillis) {
		if (ageMillis < 0 || ageMillis >= this.parameters.slowStartMillis()) {
			return 1;
		}
		return Math.max(LEAST_WARMTH, ageMillis / this.parameters.slowStartMillis());
	}

}
