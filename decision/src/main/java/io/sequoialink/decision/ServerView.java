package io.sequoialink.decision;

import java.util.Objects;

import io.sequoialink.model.BackendServer;

/**
 * What one host knows of a backend server at the time of a decision. Immutable and
 * thread-safe.
 *
 * @param server the server
 * @param inFlight this host's own requests in flight there
 * @param reportedRunning running requests of the last report
 * @param reportedQueued queued requests of the last report
 * @param capacity requests that its batch can hold
 * @param reportAgeMillis age of the last report; negative if there is none
 * @param failures recent consecutive failures seen by this host
 * @param ejected whether outlier ejection holds it back
 * @param ageMillis time since this host first saw it
 * @param prefixShare estimated share in [0, 1] of the prompt that its prefix cache holds
 * @param localZone whether it stands in this host's availability zone
 */
public record ServerView(BackendServer server, int inFlight, int reportedRunning, int reportedQueued, int capacity,
		long reportAgeMillis, int failures, boolean ejected, long ageMillis, double prefixShare, boolean localZone) {

	public ServerView {
		Objects.requireNonNull(server, "server");
	}

}
