package io.sequoialink.decision.routing;

import java.util.List;

import io.sequoialink.decision.ServerView;

/**
 * Estimates the occupancy of servers, as a share of their capacity, for one decision. The
 * mean of all servers comes from their load reports. The difference of a server from the
 * mean comes from this host's own in-flight requests and from the server's report, whose
 * weight decreases with its age: if all hosts followed the same old report, they would
 * overload the server that it shows as idle. Confined to one thread.
 */
final class LoadEstimate {

	/** Capacity assumed for a server that has not reported one, in requests. */
	private static final int UNKNOWN_CAPACITY = 8;

	private final RoutingParameters parameters;

	private double meanReportedOccupancy;

	private double meanOwnOccupancy;

	private double meanOccupancy;

	LoadEstimate(RoutingParameters parameters, List<ServerView> servers) {
		this.parameters = parameters;
		int reporting = 0;
		for (ServerView view : servers) {
			this.meanOwnOccupancy += view.inFlight() / capacity(view) / servers.size();
			if (view.reportAgeMillis() >= 0) {
				this.meanReportedOccupancy += reportedOccupancy(view);
				reporting++;
			}
		}
		this.meanReportedOccupancy = (reporting > 0) ? this.meanReportedOccupancy / reporting : this.meanOwnOccupancy;
		for (ServerView view : servers) {
			this.meanOccupancy += occupancy(view) / servers.size();
		}
	}

	/**
	 * Returns the estimated occupancy of a server after one more request is sent to it.
	 * @param view the server
	 * @return occupancy as a share of capacity; above 1, requests have to wait
	 */
	double occupancy(ServerView view) {
		double estimate = this.meanReportedOccupancy;
		if (view.reportAgeMillis() >= 0) {
			double reportWeight = Math.pow(0.5, view.reportAgeMillis() / this.parameters.reportHalfLifeMillis());
			estimate += reportWeight * (reportedOccupancy(view) - this.meanReportedOccupancy);
		}
		double ownDifference = (view.inFlight() + 1) / capacity(view) - this.meanOwnOccupancy;
		return Math.max(1 / capacity(view), estimate + ownDifference);
	}

	/**
	 * Returns the mean estimated occupancy of all servers.
	 * @return the mean, as a share of capacity
	 */
	double meanOccupancy() {
		return this.meanOccupancy;
	}

	private static double reportedOccupancy(ServerView view) {
		return (view.reportedRunning() + view.reportedQueued()) / capacity(view);
	}

	private static double capacity(ServerView view) {
		return (view.capacity() > 0) ? view.capacity() : UNKNOWN_CAPACITY;
	}

}
