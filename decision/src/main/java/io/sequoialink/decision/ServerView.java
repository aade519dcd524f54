package io.sequoialink.decision;

import java.util.Objects;

import io.sequoialink.model.BackendServer;

/**
 * One host's view of a backend server at the time of a decision. Immutable and
 * thread-safe.
 *
 * @param server the backend server
 * @param inFlight requests of this host that are in flight on the server
 * @param reportedRunning running requests according to the server's last load report
 * @param reportedQueued queued requests according to the server's last load report
 * @param capacity maximum number of requests in the server's batch; 0 if unknown
 * @param reportAgeMillis age of the last load report, in milliseconds; negative if there
 * is none
 * @param consecutiveFailures current number of consecutive failures seen by this host
 * @param ejected whether outlier detection has ejected the server
 * @param ageMillis time since this host first saw the server, in milliseconds
 * @param prefixShare estimated share in [0, 1] of the prompt that is in the server's
 * prefix cache
 * @param localZone whether the server is in this host's availability zone
 */
public record ServerView(BackendServer server, int inFlight, int reportedRunning, int reportedQueued, int capacity,
		long reportAgeMillis, int consecutiveFailures, boolean ejected, long ageMillis, double prefixShare,
		boolean localZone) {

	public ServerView {
		Objects.requireNonNull(server, "server");
	}

}
