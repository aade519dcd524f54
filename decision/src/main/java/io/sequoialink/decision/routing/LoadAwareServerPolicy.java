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
 * The default policy: chooses the server with the lowest cost among a few servers drawn
 * at random, the owner of the prompt's prefix, and a server that has the prefix in its
 * cache. The cost of a server's load is low until its batch is nearly full and then rises
 * steeply, since only then requests have to wait. A server in another availability zone
 * costs slightly more, and a cached prefix reduces the cost. Each prefix has an owner,
 * which is determined by rendezvous hashing so that all hosts choose the same one without
 * communication. The owner is assumed to have part of the prompt in its cache, which
 * reduces its cost, but only up to a maximum occupancy (running and queued requests as a
 * share of its capacity). A new server is considered for a growing share of the requests
 * (slow start).
 * <p>
 * Never chooses a server that is shutting down, and an avoided server only if there is no
 * other. Immutable and thread-safe. The time of a decision is proportional to the number
 * of servers; it allocates three short lists.
 */
public final class LoadAwareServerPolicy implements ServerPolicy {

	private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

	/** Lowest probability with which a server in slow start is considered. */
	private static final double MIN_SLOW_START_PROBABILITY = 0.1;

	/**
	 * Share of the oldest server's age from which a server is no longer in slow start.
	 */
	private static final double SAME_AGE_RATIO = 0.9;

	private final RoutingParameters parameters;

	public LoadAwareServerPolicy(RoutingParameters parameters) {
		this.parameters = parameters;
	}

	@Override
	public Optional<ServerId> choose(RequestFacts request, List<ServerView> servers, Set<ServerId> avoided,
			RandomGenerator random) {
		List<ServerView> eligible = EligibleServers.of(servers, avoided);
		if (eligible.isEmpty()) {
			return Optional.empty();
		}
		applySlowStart(eligible, random);
		LoadEstimate load = new LoadEstimate(this.parameters, eligible);
		ServerView owner = (request.prefixHash() != 0) ? prefixOwner(request.prefixHash(), eligible) : null;
		ServerView best = null;
		double lowestCost = Double.POSITIVE_INFINITY;
		for (ServerView view : serversToCompare(eligible, owner, random)) {
			double cost = cost(view, load, view == owner);
			if (best == null || cost < lowestCost) {
				best = view;
				lowestCost = cost;
			}
		}
		return Optional.of(best.server().id());
	}

	private void applySlowStart(List<ServerView> eligible, RandomGenerator random) {
		List<ServerView> considered = new ArrayList<>(eligible.size());
		// A host that has just started has first seen all servers recently. None of them
		// is in slow start then.
		double oldest = eligible.stream().mapToDouble(ServerView::ageMillis).max().orElse(0);
		double slowStartMillis = Math.min(this.parameters.slowStartMillis(), SAME_AGE_RATIO * oldest);
		for (ServerView view : eligible) {
			double age = Math.max(0, view.ageMillis());
			boolean established = age >= slowStartMillis;
			double probability = Math.max(MIN_SLOW_START_PROBABILITY, established ? 1 : age / slowStartMillis);
			if (established || random.nextDouble() < probability) {
				considered.add(view);
			}
		}
		if (!considered.isEmpty()) {
			eligible.retainAll(considered);
		}
	}

	private List<ServerView> serversToCompare(List<ServerView> eligible, ServerView owner, RandomGenerator random) {
		int drawn = Math.min(this.parameters.samples(), eligible.size());
		for (int i = 0; i < drawn; i++) {
			int other = i + random.nextInt(eligible.size() - i);
			ServerView swapped = eligible.get(i);
			eligible.set(i, eligible.get(other));
			eligible.set(other, swapped);
		}
		List<ServerView> compared = new ArrayList<>(eligible.subList(0, drawn));
		ServerView cached = eligible.get(0);
		for (ServerView view : eligible) {
			cached = (view.prefixShare() > cached.prefixShare()) ? view : cached;
		}
		if (cached.prefixShare() > 0) {
			compared.add(cached);
		}
		if (owner != null) {
			compared.add(owner);
		}
		return compared;
	}

	private double cost(ServerView view, LoadEstimate load, boolean owner) {
		double occupancy = load.occupancy(view);
		double loadCost = Math.pow(occupancy, this.parameters.steepness());
		double zoneCost = view.localZone() ? 0 : this.parameters.zoneDetour();
		boolean belowBound = occupancy <= this.parameters.affinityBound() * load.meanOccupancy();
		double cachedShare = Math.max(view.prefixShare(), (owner && belowBound) ? this.parameters.ownerShare() : 0);
		return loadCost + zoneCost - this.parameters.prefixCredit() * cachedShare;
	}

	private static ServerView prefixOwner(long prefixHash, List<ServerView> eligible) {
		ServerView owner = null;
		long highest = 0;
		for (ServerView view : eligible) {
			long score = rendezvousScore(prefixHash, view.server().id());
			if (owner == null || score > highest) {
				owner = view;
				highest = score;
			}
		}
		return owner;
	}

	private static long rendezvousScore(long prefixHash, ServerId server) {
		long mixed = (prefixHash ^ server.value().hashCode() * HASH_MULTIPLIER) * HASH_MULTIPLIER;
		mixed = (mixed ^ (mixed >>> 32)) * HASH_MULTIPLIER;
		return mixed ^ (mixed >>> 29);
	}

}
