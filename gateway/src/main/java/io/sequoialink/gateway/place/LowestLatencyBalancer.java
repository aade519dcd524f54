package io.sequoialink.gateway.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sequoialink.decision.observation.SharedServerNotices;
import io.sequoialink.gateway.permit.RequestPermits;
import io.sequoialink.gateway.rollout.VersionGroup;

/**
 * Chooses the backend server from which the first byte of the response is expected
 * earliest. Confined to the event loop.
 *
 * <p>
 * Only a random sample of the servers is compared, so that hosts which hold the same
 * outdated load reports do not all choose the same server. Rendezvous hashing assigns
 * each prompt prefix to one of the servers, called its owner. The owner is always part of
 * the sample, so that all hosts send requests with one prefix to the engine that has it
 * in its cache, without exchanging messages.
 */
public final class LowestLatencyBalancer implements LoadBalancer {

	/**
	 * Age from which a server's load report (number of running and queued requests) is
	 * ignored, in nanoseconds; its weight falls linearly until then.
	 */
	static final long REPORT_MAX_AGE_NANOS = 1_500_000_000L;

	/**
	 * Time after which an engine is assumed to have evicted a prompt prefix from its
	 * cache, in nanoseconds.
	 */
	static final long PREFIX_CACHE_NANOS = 20_000_000_000L;

	/**
	 * Servers that peers reported as shutting down or asking for back-off are left out
	 * only while at least this share of the servers remains.
	 */
	private static final double MIN_REMAINING_SHARE = 0.67;

	private static final int FLEET_SAMPLES = 3;

	private static final int ZONE_SAMPLES = 3;

	/**
	 * Delay that each request in progress at a server adds to a new one, in milliseconds.
	 */
	private static final double RUNNING_REQUEST_MILLIS = 4;

	/** Delay that each request in a server's queue is assumed to add, in milliseconds. */
	private static final double QUEUED_REQUEST_MILLIS = 150;

	/**
	 * Time that a server without a free slot is assumed to need for each further request
	 * per slot, in milliseconds.
	 */
	private static final double FULL_SERVER_MILLIS = 400;

	/**
	 * Traffic between availability zones is billed: a server of another zone is chosen
	 * only if it is faster by at least this, in milliseconds.
	 */
	private static final double CROSS_ZONE_MILLIS = 50;

	/**
	 * Share of a prefix's prefill time that is subtracted for the owner of the prefix
	 * (the server to which rendezvous hashing assigns it) while this host does not know
	 * whether the server has the prefix in its cache.
	 */
	private static final double OWNER_PREFILL_CREDIT = 0.5;

	private static final double NANOS_PER_MILLI = 1e6;

	/**
	 * Time for which a request is assumed to hold its memory before one is known, in
	 * milliseconds.
	 */
	private static final double DEFAULT_HELD_MILLIS = 2000;

	private final ServerTable servers;

	private final PrefillSpeed prefill;

	private final String zone;

	private final RequestPermits permits;

	private final LongSupplier clock;

	private final RandomGenerator random;

	/**
	 * Creates a load balancer.
	 * @param servers known servers with their load
	 * @param speed estimates the prefill time of prompts by model
	 * @param zone availability zone of this host
	 * @param permits limits of the servers over all hosts
	 * @param clock monotonic time in nanoseconds
	 * @param random source of randomness for the sample
	 */
	public LowestLatencyBalancer(ServerTable servers, PrefillSpeed speed, String zone, RequestPermits permits,
			LongSupplier clock, RandomGenerator random) {
		this.servers = servers;
		this.prefill = speed;
		this.zone = zone;
		this.permits = permits;
		this.clock = clock;
		this.random = random;
	}

	@Override
	public Optional<SelectedServer> choose(LoadBalancingRequest request) {
		long now = this.clock.getAsLong();
		List<ServerState> candidates = candidates(request, now);
		List<ServerState> open = this.permits.anyLimited() ? withPermitNow(candidates, request) : candidates;
		if (open.isEmpty()) {
			return withPermitSoon(candidates, request, now);
		}
		return Optional.of(chooseFastest(open, request, now));
	}

	// Leaves out limited servers for which no permit can be had at once. Servers of other
	// versions do not replace them, since a limit must not move requests to a new
	// version.
	private List<ServerState> withPermitNow(List<ServerState> candidates, LoadBalancingRequest request) {
		return filter(candidates, (state) -> opensWithin(state, request, 0));
	}

	private boolean opensWithin(ServerState state, LoadBalancingRequest request, long nanos) {
		if (!this.permits.limited(state.incarnation())) {
			return true;
		}
		return request.permitWaitNanos() != LoadBalancingRequest.NO_LIMITED_SERVER
				&& this.permits.earliestNanos(state.incarnation()) <= nanos;
	}

	private Optional<SelectedServer> withPermitSoon(List<ServerState> candidates, LoadBalancingRequest request,
			long now) {
		List<ServerState> open = filter(candidates, (state) -> opensWithin(state, request, request.permitWaitNanos()));
		return firstNonEmpty(filter(open, (state) -> !cold(state)), open).stream()
			.min(Comparator.comparingLong((state) -> this.permits.earliestNanos(state.incarnation())))
			.map((state) -> select(state, request, false, now));
	}

	private boolean cold(ServerState state) {
		return this.permits.coldNanos(state.incarnation()) > 0;
	}

	private SelectedServer select(ServerState state, LoadBalancingRequest request, boolean owner, long now) {
		return new SelectedServer(state, prefillMillis(state, request.prompt(), owner, now),
				Math.max(0, request.permitWaitNanos()), heldTokens(state, request, owner, now));
	}

	private SelectedServer chooseFastest(List<ServerState> candidates, LoadBalancingRequest request, long now) {
		ServerState owner = (request.prompt().prefixHash() != 0) ? owner(candidates, request.prompt().prefixHash())
				: null;
		ServerState best = null;
		double bestCost = Double.MAX_VALUE;
		for (ServerState state : sample(candidates, owner)) {
			double cost = cost(state, request, state == owner, now);
			if (cost < bestCost) {
				bestCost = cost;
				best = state;
			}
		}
		SelectedServer selected = select(best, request, best == owner, now);
		boolean mayNotWait = this.permits.anyLimited() && othersNeedNoWait(candidates, cold(best));
		return mayNotWait ? new SelectedServer(best, selected.prefillMillis(), 0, selected.heldTokens()) : selected;
	}

	// A permit of a cold server is not waited for while there is a warm one.
	private boolean othersNeedNoWait(List<ServerState> candidates, boolean cold) {
		return candidates.stream()
			.anyMatch((state) -> !this.permits.limited(state.incarnation()) || (cold && !cold(state)));
	}

	// Applies one filter after the other (version, not tried before, not ejected, not
	// reported by peers); a filter that would leave no server is skipped.
	private List<ServerState> candidates(LoadBalancingRequest request, long now) {
		List<ServerState> usable = this.servers.usableServers(request.service());
		List<ServerState> allowed = usable;
		if (request.versionGroup() != VersionGroup.ANY) {
			boolean wantsTarget = request.versionGroup() == VersionGroup.PREFER_TARGET;
			allowed = filter(usable, (state) -> state.entry().version().equals(request.target()) == wantsTarget);
			allowed = wantsTarget ? RolloutSubset.of(allowed, request.serverShare()) : allowed;
		}
		List<ServerState> permitted = (request.versionGroup() == VersionGroup.OLD_ONLY) ? allowed : usable;
		List<ServerState> untried = firstNonEmpty(filter(allowed, (state) -> untried(state, request)),
				filter(permitted, (state) -> untried(state, request)), firstNonEmpty(allowed, permitted));
		List<ServerState> healthy = firstNonEmpty(filter(untried, (state) -> !state.ejected(now)), untried);
		return withoutServersReportedByPeers(healthy, now);
	}

	// If peers report many servers as shutting down or asking for back-off, the reports
	// are ignored, because the remaining servers could not take all requests.
	private List<ServerState> withoutServersReportedByPeers(List<ServerState> servers, long now) {
		SharedServerNotices notices = this.servers.sharedNotices();
		if (notices.isEmpty()) {
			return servers;
		}
		List<ServerState> remaining = filter(servers, (state) -> !notices.shouldAvoid(state.incarnation(), now));
		return (remaining.size() >= MIN_REMAINING_SHARE * servers.size()) ? remaining : servers;
	}

	private static boolean untried(ServerState state, LoadBalancingRequest request) {
		return !request.tried().contains(state.entry().id());
	}

	@SafeVarargs
	private static List<ServerState> firstNonEmpty(List<ServerState>... lists) {
		for (List<ServerState> list : lists) {
			if (!list.isEmpty()) {
				return list;
			}
		}
		return List.of();
	}

	private static List<ServerState> filter(List<ServerState> states, Predicate<ServerState> test) {
		List<ServerState> remaining = new ArrayList<>();
		for (ServerState state : states) {
			if (test.test(state)) {
				remaining.add(state);
			}
		}
		return remaining;
	}

	private static ServerState owner(List<ServerState> candidates, long prefix) {
		ServerState best = null;
		long bestWeight = 0;
		for (ServerState state : candidates) {
			long weight = Hashing.wyhashFinal4().hashStream().putLong(prefix).putString(state.entry().id()).getAsLong();
			if (best == null || weight > bestWeight) {
				best = state;
				bestWeight = weight;
			}
		}
		return best;
	}

	// Samples servers of the local zone and of the whole fleet, and adds the owner of the
	// prefix (the server to which rendezvous hashing assigns it).
	private List<ServerState> sample(List<ServerState> candidates, ServerState owner) {
		if (candidates.size() <= ZONE_SAMPLES + FLEET_SAMPLES) {
			return candidates;
		}
		List<ServerState> local = filter(candidates, this::inLocalZone);
		List<ServerState> drawn = new ArrayList<>(ZONE_SAMPLES + FLEET_SAMPLES + 1);
		sampleInto(local, ZONE_SAMPLES, drawn);
		sampleInto(candidates, FLEET_SAMPLES, drawn);
		if (owner != null) {
			drawn.add(owner);
		}
		return drawn;
	}

	private void sampleInto(List<ServerState> from, int count, List<ServerState> into) {
		for (int i = 0; i < count && !from.isEmpty(); i++) {
			into.add(from.get(this.random.nextInt(from.size())));
		}
	}

	private boolean inLocalZone(ServerState state) {
		return state.entry().zone().equals(this.zone);
	}

	private double cost(ServerState state, LoadBalancingRequest request, boolean owner, long now) {
		if (this.servers.reportsSlowdown(request.service())) {
			return costBySpeed(state, request, owner, now);
		}
		PromptSize work = request.prompt();
		double load = state.load(now, REPORT_MAX_AGE_NANOS);
		int slots = Math.max(1, state.entry().slots());
		double queueingMillis = Math.max(0, load + 1 - slots) / slots * FULL_SERVER_MILLIS;
		double zoneMillis = inLocalZone(state) ? 0 : CROSS_ZONE_MILLIS;
		double cost = queueingMillis + zoneMillis + warmupMillis(state) / 10.0;
		if (!work.inference()) {
			return cost + load / slots * FULL_SERVER_MILLIS / 4;
		}
		return cost + load * RUNNING_REQUEST_MILLIS + state.pendingMillis()
				+ state.queued(now, REPORT_MAX_AGE_NANOS) * QUEUED_REQUEST_MILLIS
				+ prefillMillis(state, work, owner, now);
	}

	private double warmupMillis(ServerState state) {
		double coldMillis = this.permits.anyLimited() ? this.permits.coldNanos(state.incarnation()) / NANOS_PER_MILLI
				: 0;
		return Math.max(state.entry().warmupMillis(), coldMillis);
	}

	// What runs and waits at the server and the request itself take longer by the factor
	// of the server's speed; the way to another zone does not.
	private double costBySpeed(ServerState state, LoadBalancingRequest request, boolean owner, long now) {
		double expectedMillis = request.prompt().inference() ? inferenceMillis(state, request, owner, now)
				: plainMillis(state, request.expected(), now);
		double zoneMillis = inLocalZone(state) ? 0 : CROSS_ZONE_MILLIS;
		return zoneMillis + warmupMillis(state) / 10.0 + state.speed().factor(now) * expectedMillis;
	}

	private double inferenceMillis(ServerState state, LoadBalancingRequest request, boolean owner, long now) {
		double load = state.load(now, REPORT_MAX_AGE_NANOS);
		int slots = Math.max(1, state.entry().slots());
		return Math.max(0, load + 1 - slots) / slots * FULL_SERVER_MILLIS + load * RUNNING_REQUEST_MILLIS
				+ state.pendingMillis() + state.queued(now, REPORT_MAX_AGE_NANOS) * QUEUED_REQUEST_MILLIS
				+ prefillMillis(state, request.prompt(), owner, now) + memoryMillis(state, request, owner, now);
	}

	// A request that does not fit makes the server preempt others, so it is as if it had
	// to wait until there is room.
	private double memoryMillis(ServerState state, LoadBalancingRequest request, boolean owner, long now) {
		long capacity = this.servers.cacheTokens(request.service());
		if (capacity == 0) {
			return 0;
		}
		MemoryUse use = this.servers.memoryUse();
		double occupied = state.memory().occupiedTokens(use.heldTokens(request.service()), now);
		return ServerMemory.millisUntilRoom(heldTokens(state, request, owner, now), capacity, occupied,
				use.heldMillis(request.service()).orElse(DEFAULT_HELD_MILLIS));
	}

	// Both numbers of tokens are stated by the client, so they are limited to what a
	// server can hold.
	private double heldTokens(ServerState state, LoadBalancingRequest request, boolean owner, long now) {
		if (!request.prompt().inference() || !this.servers.reportsSlowdown(request.service())) {
			return 0;
		}
		double tokens = uncachedTokens(state, request.prompt(), owner, now) + request.expected().outputTokens();
		return Math.min(this.servers.cacheTokens(request.service()), tokens);
	}

	private static double plainMillis(ServerState state, ExpectedWork expected, long now) {
		double usualMillis = (expected.usualMillis() > 0) ? expected.usualMillis() : FULL_SERVER_MILLIS;
		int slots = Math.max(1, state.entry().slots());
		return (state.expectedLoad(now, REPORT_MAX_AGE_NANOS) + 1) / slots * usualMillis;
	}

	private double prefillMillis(ServerState state, PromptSize work, boolean owner, long now) {
		return work.inference() ? this.prefill.estimateMillis(work.model(), uncachedTokens(state, work, owner, now))
				: 0;
	}

	private static double uncachedTokens(ServerState state, PromptSize work, boolean owner, long now) {
		double shared = work.prefixTokens();
		if (work.prefixHash() != 0 && state.likelyCached(work.prefixHash(), now - PREFIX_CACHE_NANOS)) {
			shared = 0;
		}
		else if (owner) {
			shared *= 1 - OWNER_PREFILL_CREDIT;
		}
		return shared + work.remainingTokens();
	}

}
