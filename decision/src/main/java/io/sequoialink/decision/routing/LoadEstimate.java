package io.sequoialink.decision.routing;

import java.util.List;

import io.sequoialink.decision.ServerView;

/**
 * Estimates servers' occupancy, as a share of capacity. The common level comes from the
 * reports, what differs between servers from this host's own requests in flight and, the
 * less the older they are, from the reports: hosts that all follow the same old report
 * would overload the server that it shows as idle. Confined to one thread; made for one
 * decision.
 */
final class LoadEstimate {

	/** Capacity assumed of a server that has not reported any. */
	private static final int UNKNOWN_CAPACITY = 8;

	private final RoutingParameters parameters;

	private double meanReported;

	private double meanOwn;

	private double meanOccupancy;

	LoadEstimate(RoutingParameters parameters, List<ServerView> servers) {
		this.parameters = parameters;
		int reporting = 0;
		for (ServerView view : servers) {
			this.meanOwn += view.inFlight() / capacity(view) / servers.size();
			if (view.reportAgeMillis() >= 0) {
				this.meanReported += reported(view);
				reporting++;
			}
		}
		this.meanReported = (reporting > 0) ? this.meanReported / reporting : this.meanOwn;
		for (ServerView view : servers) {
			this.meanOccupancy += occupancy(view) / servers.size();
		}
	}

	/**
	 * Returns the estimated occupancy once one more request is there.
	 * @param view what is known of the server
	 * @return occupancy; above 1 requests wait
	 */
	double occupancy(ServerView view) {
		double level = this.meanReported;
		if (view.reportAgeMillis() >= 0) {
			double trust = Math.pow(0.5, view.reportAgeMillis() / this.parameters.reportHalfLifeMillis());
			level += trust * (reported(view) - this.meanReported);
		}
		double own = (view.inFlight() + 1) / capacity(view) - this.meanOwn;
		return Math.max(1 / capacity(view), level + own);
	}

	/**
	 * Returns the mean of all servers' occupancies.
	 * @return the mean
	 */
	double meanOccupancy() {
		return this.meanOccupancy;
	}

	private static double reported(ServerView view) {
		return (view.reportedRunning() + view.reportedQueued()) / capacity(view);
	}

	private static double capacity(ServerView view) {
		return (view.capacity() > 0) ? view.capacity() : UNKNOWN_CAPACITY;
	}

}
