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
 * The default policy: the owner of the prompt's prefix while it is not loaded above a
 * bound, otherwise the better of a few servers drawn at random. The owner is found by
 * rendezvous hashing, so that hosts agree on it without talking, and a server that is
 * known to hold the prefix is preferred by its estimated share.
 * <p>
 * Never chooses a server that is leaving, nor an avoided one while another is there.
 * Immutable and thread-safe. A decision takes time in the number of servers and allocates
 * three short lists.
 */
public final class LoadAwareServerPolicy implements ServerPolicy {

	private static final long MIX = 0x9E3779B97F4A7C15L;

	private final RoutingParameters parameters;

	private final LoadEstimate load;

	public LoadAwareServerPolicy(RoutingParameters parameters) {
		this.parameters = parameters;
		this.load = new LoadEstimate(parameters);
	}

	@Override
	public Optional<ServerId> choose(RequestFacts request, List<ServerView> servers, Set<ServerId> avoided,
			RandomGenerator random) {
		List<ServerView> usable = UsableServers.of(servers, avoided);
		if (usable.isEmpty()) {
			return Optional.empty();
		}
		ServerView chosen = (request.prefixHash() != 0) ? owner(request.prefixHash(), usable) : null;
		if (chosen == null) {
			chosen = sampled(usable, random);
		}
		return Optional.of(chosen.server().id());
	}

	private ServerView owner(long prefixHash, List<ServerView> usable) {
		double mean = 0;
		for (ServerView view : usable) {
			mean += this.load.of(view) / usable.size();
		}
		ServerView owner = null;
		long highest = 0;
		for (ServerView view : usable) {
			long rank = rank(prefixHash, view.server().id());
			if (owner == null || rank > highest) {
				owner = view;
				highest = rank;
			}
		}
		return (this.load.of(owner) <= this.parameters.affinityBound() * mean) ? owner : null;
	}

	private ServerView sampled(List<ServerView> usable, RandomGenerator random) {
		ServerView best = usable.get(random.nextInt(usable.size()));
		for (int i = 1; i < this.parameters.samples(); i++) {
			ServerView other = usable.get(random.nextInt(usable.size()));
			best = (score(other) < score(best)) ? other : best;
		}
		return best;
	}

	private double score(ServerView view) {
		double detour = view.localZone() ? 0 : this.parameters.zoneDetour();
		return this.load.of(view) + detour - this.parameters.prefixCredit() * view.prefixShare();
	}

	private static long rank(long prefixHash, ServerId server) {
		long mixed = (prefixHash ^ server.value().hashCode() * MIX) * MIX;
		mixed = (mixed ^ (mixed >>> 32)) * MIX;
		return mixed ^ (mixed >>> 29);
	}

}
