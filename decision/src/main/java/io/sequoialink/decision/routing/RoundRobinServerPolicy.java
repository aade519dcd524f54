package io.sequoialink.decision.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.ServerPolicy;
import io.sequoialink.decision.ServerView;
import io.sequoialink.model.ServerId;

/**
 * Baseline: takes the usable servers in turn. Thread-safe.
 */
public final class RoundRobinServerPolicy implements ServerPolicy {

	private final AtomicInteger turn = new AtomicInteger();

	@Override
	public Optional<ServerId> choose(RequestFacts request, List<ServerView> servers, Set<ServerId> avoided,
			RandomGenerator random) {
		List<ServerView> usable = UsableServers.of(servers, avoided);
		if (usable.isEmpty()) {
			return Optional.empty();
		}
		int index = Math.floorMod(this.turn.getAndIncrement(), usable.size());
		return Optional.of(usable.get(index).server().id());
	}

}
