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
 * Baseline: takes the usable server with the fewest requests of this host in flight, any
 * of equals. Immutable and thread-safe.
 */
public final class LeastInFlightServerPolicy implements ServerPolicy {

	@Override
	public Optional<ServerId> choose(RequestFacts request, List<ServerView> servers, Set<ServerId> avoided,
			RandomGenerator random) {
		List<ServerView> usable = UsableServers.of(servers, avoided);
		ServerView least = null;
		int equals = 0;
		for (ServerView view : usable) {
			if (least == null || view.inFlight() < least.inFlight()) {
				least = view;
				equals = 1;
			}
			else if (view.inFlight() == least.inFlight() && random.nextInt(++equals) == 0) {
				least = view;
			}
		}
		return Optional.ofNullable(least).map((view) -> view.server().id());
	}

}
