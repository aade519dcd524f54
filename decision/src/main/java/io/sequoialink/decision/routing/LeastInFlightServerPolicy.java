package io.sequoialink.decision.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.ServerPolicy;
import io.sequoialink.decision.ServerView;
import io.sequoialink.model.ServerId;

/**
 * Baseline for comparisons: chooses the eligible server with the fewest in-flight
 * requests of this host, at random among equals. Immutable and thread-safe.
 */
public final class LeastInFlightServerPolicy implements ServerPolicy {

	@Override
	public Optional<ServerId> choose(RequestFacts request, List<ServerView> servers, Set<ServerId> avoided,
			RandomGenerator random) {
		List<ServerView> eligible = EligibleServers.of(servers, avoided);
		ServerView least = null;
		int ties = 0;
		for (ServerView view : eligible) {
			if (least == null || view.inFlight() < least.inFlight()) {
				least = view;
				ties = 1;
			}
			else if (view.inFlight() == least.inFlight() && random.nextInt(++ties) == 0) {
				least = view;
			}
		}
		return Optional.ofNullable(least).map((view) -> view.server().id());
	}

}
