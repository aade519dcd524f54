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
 * Baseline for comparisons: chooses the eligible servers in turn. Thread-safe.
 */
public final class RoundRobinServerPolicy implements ServerPolicy {

	private final AtomicInteger nextIndex = new AtomicInteger();

	@Override
	public Optional<ServerId> choose(RequestFacts request, List<ServerView> servers, Set<ServerId> avoided,
			RandomGenerator random) {
		List<ServerView> eligible = EligibleServers.of(servers, avoided);
		if (eligible.isEmpty()) {
			return Optional.empty();
		}
		int index = Math.floorMod(this.nextIndex.getAndIncrement(), eligible.size());
		return Optional.of(eligible.get(index).server().id());
	}

}
