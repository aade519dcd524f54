package io.sequoialink.decision.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.ServerPolicy;
import io.sequoialink.decision.ServerView;
import io.sequoialink.model.ServerId;

/**
 * The default policy: the cheapest of a few servers drawn at random, the owner of the
 * prompt's prefix and a server that is known to hold it. A server costs little until its
 * batch is nearly full, and then steeply more, since only then a request waits; another
 * zone costs a little, and a cached prefix is credited. The owner is found by rendezvous
 * hashing, so that hosts agree on it without talking, and gets no credit above a bound on
 * its load. A new server takes part in a growing share of the choices.
 * <p>
 * Never chooses a server that is leaving, nor an avoided one while another is there.
 * Immutable and thread-safe. A decision takes time in the number of servers and allocates
 * three short lists.
 */
public final class LoadAwareServerPolicy implements ServerPolicy {

	private static final long MIX = 0x9E3779B97F4A7C15L;

	/** Least chance that a server takes part in a choice when it has just come up. */
	private static final double LEAST_WARMTH = 0.1;

	/** Part of the oldest server's age from which another one counts as no newer. */
	private static final double SAME_AGE = 0.9;

	private final RoutingParameters parameters;

	public LoadAwareServerPolicy(RoutingParameters parameters) {
		this.parameters = parameters;
	}

	@Override
	public Optional<ServerId> choose(RequestFacts request, List<ServerView> servers, Set<ServerId> avoided,
			RandomGenerator random) {
		List<ServerView> usable = UsableServers.of(servers, avoided);
		if (usable.isEmpty()) {
			return Optional.empty();
		}
		withoutMostNewOnes(usable, random);
		LoadEstimate load = new LoadEstimate(this.parameters, usable);
		ServerView owner = (request.prefixHash() != 0) ? owner(request.prefixHash(), usable) : null;
		ServerView best = null;
		double least = Double.POSITIVE_INFINITY;
		for (ServerView view : compared(usable, owner, random)) {
			double cost = cost(view, load, view == owner);
			if (best == null || cost < least) {
				best = view;
				least = cost;
			}
		}
		return Optional.of(best.server().id());
	}

	private void withoutMostNewOnes(List<ServerView> usable, RandomGenerator random) {
		List<ServerView> warm = new ArrayList<>(usable.size());
		// A host that has just started sees every server as new: none of them is held
		// back.
		double oldest = usable.stream().mapToDouble(ServerView::ageMillis).max().orElse(0);
		double grown = Math.min(this.parameters.slowStartMillis(), SAME_AGE * oldest);
		for (ServerView view : usable) {
			double age = Math.max(0, view.ageMillis());
			boolean settled = age >= grown;
			double chance = Math.max(LEAST_WARMTH, settled ? 1 : age / grown);
			if (settled || random.nextDouble() < chance) {
				warm.add(view);
			}
		}
		if (!warm.isEmpty()) {
			usable.retainAll(warm);
		}
	}

	private List<ServerView> compared(List<ServerView> usable, ServerView owner, RandomGenerator random) {
		int drawn = Math.min(this.parameters.samples(), usable.size());
		for (int i = 0; i < drawn; i++) {
			int other = i + random.nextInt(usable.size() - i);
			ServerView swapped = usable.get(i);
			usable.set(i, usable.get(other));
			usable.set(other, swapped);
		}
		List<ServerView> compared = new ArrayList<>(usable.subList(0, drawn));
		ServerView holder = usable.get(0);
		for (ServerView view : usable) {
			holder = (view.prefixShare() > holder.prefixShare()) ? view : holder;
		}
		if (holder.prefixShare() > 0) {
			compared.add(holder);
		}
		if (owner != null) {
			compared.add(owner);
		}
		return compared;
	}

	private double cost(ServerView view, LoadEstimate load, boolean owner) {
		double occupancy = load.occupancy(view);
		double waiting = Math.pow(occupancy, this.parameters.steepness());
		double detour = view.localZone() ? 0 : this.parameters.zoneDetour();
		boolean bounded = occupancy <= this.parameters.affinityBound() * load.meanOccupancy();
		double held = Math.max(view.prefixShare(), (owner && bounded) ? this.parameters.ownerShare() : 0);
		return waiting + detour - this.parameters.prefixCredit() * held;
	}

	private static ServerView owner(long prefixHash, List<ServerView> usable) {
		ServerView owner = null;
		long highest = 0;
		for (ServerView view : usable) {
			long rank = rank(prefixHash, view.server().id());
			if (owner == null || rank > highest) {
				owner = view;
				highest = rank;
			}
		}
		return owner;
	}

	private static long rank(long prefixHash, ServerId server) {
		long mixed = (prefixHash ^ server.value().hashCode() * MIX) * MIX;
		mixed = (mixed ^ (mixed >>> 32)) * MIX;
		return mixed ^ (mixed >>> 29);
	}

}
