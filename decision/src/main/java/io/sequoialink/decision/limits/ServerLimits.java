package io.sequoialink.decision.limits;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.sequoialink.decision.observation.GossipRounds;

/**
 * The limits that backend servers named, to this host in responses or to its peers, which
 * pass them on by gossip. The key is a hash of the server's incarnation. Confined to one
 * thread.
 *
 * <p>
 * Invariants: a limit holds until a younger response of the same incarnation names
 * another one or none; it does not expire, since a server that gets no requests cannot
 * lift it. At most {@link #MAX_SERVERS} servers are kept, those observed last. A change
 * is gossiped in a fixed number of rounds.
 */
public final class ServerLimits {

	static final int MAX_SERVERS = 4096;

	/**
	 * Time after which an observation without a limit is removed, in nanoseconds. By then
	 * all hosts have heard of it.
	 */
	static final long UNLIMITED_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final Map<Long, LimitObservation> known = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, LimitObservation> eldest) {
			return size() > MAX_SERVERS;
		}
	};

	private final Map<Long, Long> limitedSince = new HashMap<>();

	private final GossipRounds rounds = new GossipRounds();

	/**
	 * Records what a response to this host said.
	 * @param server hash of the server's incarnation
	 * @param named what the response names
	 * @param sentNanos monotonic time at which its request was sent, in nanoseconds
	 * @param receivedNanos monotonic time at which its head arrived, in nanoseconds
	 * @return the new observation if the limit has changed
	 */
	public Optional<LimitObservation> observe(long server, NamedLimit named, long sentNanos, long receivedNanos) {
		return switch (named.state()) {
			case UNREADABLE -> Optional.empty();
			case ABSENT -> observeNoLimit(server, sentNanos);
			case NAMED -> observeLimit(server, new LimitObservation(named.perSecond(), receivedNanos), sentNanos);
		};
	}

	private Optional<LimitObservation> observeNoLimit(long server, long sentNanos) {
		LimitObservation before = this.known.get(server);
		return (before != null && before.limited())
				? merge(server, new LimitObservation(LimitObservation.UNLIMITED, sentNanos), sentNanos)
				: Optional.empty();
	}

	// Responses may overtake each other. One whose request was sent before the present
	// limit was heard may be the older one, so it does not raise the limit.
	private Optional<LimitObservation> observeLimit(long server, LimitObservation named, long sentNanos) {
		LimitObservation before = this.known.get(server);
		boolean mayBeOlder = before != null && before.limited() && named.perSecond() > before.perSecond()
				&& sentNanos - before.atNanos() <= 0;
		return mayBeOlder ? Optional.empty() : merge(server, named, named.atNanos());
	}

	/**
	 * Merges an observation of a peer.
	 * @param server hash of the server's incarnation
	 * @param received the observation, with the time on this host's clock
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the new observation if the limit has changed
	 */
	public Optional<LimitObservation> mergeFromPeer(long server, LimitObservation received, long nowNanos) {
		LimitObservation before = this.known.get(server);
		boolean peerIsBehind = before != null && before.perSecond() != received.perSecond()
				&& before.merge(received).equals(before);
		if (peerIsBehind) {
			this.rounds.peerIsBehind(server);
		}
		return merge(server, received, nowNanos);
	}

	private Optional<LimitObservation> merge(long server, LimitObservation observation, long nowNanos) {
		LimitObservation before = this.known.get(server);
		LimitObservation after = (before != null) ? before.merge(observation) : observation;
		this.known.put(server, after);
		boolean changed = (before != null) ? before.perSecond() != after.perSecond() : after.limited();
		if (changed) {
			this.rounds.changed(server);
			this.limitedSince.putIfAbsent(server, nowNanos);
		}
		if (!after.limited()) {
			this.limitedSince.remove(server);
		}
		return changed ? Optional.of(after) : Optional.empty();
	}

	/**
	 * Returns the limit of a server.
	 * @param server hash of the server's incarnation
	 * @return requests per second from all hosts together; empty without a limit
	 */
	public OptionalDouble perSecond(long server) {
		LimitObservation observation = this.known.get(server);
		return (observation != null && observation.limited()) ? OptionalDouble.of(observation.perSecond())
				: OptionalDouble.empty();
	}

	/**
	 * Returns since when a server is known to be limited.
	 * @param server hash of the server's incarnation
	 * @return monotonic time in nanoseconds; empty without a limit
	 */
	public OptionalLong limitedSinceNanos(long server) {
		Long since = this.limitedSince.get(server);
		return (since != null) ? OptionalLong.of(since) : OptionalLong.empty();
	}

	/**
	 * Returns what is known of a server.
	 * @param server hash of the server's incarnation
	 * @return the newest observation
	 */
	public Optional<LimitObservation> find(long server) {
		return Optional.ofNullable(this.known.get(server));
	}

	/**
	 * Returns whether there are changes to send.
	 * @return whether the next selection may contain any
	 */
	public boolean hasNews() {
		return !this.rounds.isEmpty();
	}

	/**
	 * Selects the changes to send in this gossip round; the ones sent in the fewest
	 * rounds come first.
	 * @param max maximum number of servers
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the observations to send, by server
	 */
	public Map<Long, LimitObservation> selectForGossip(int max, long nowNanos) {
		removeExpired(nowNanos);
		Map<Long, LimitObservation> selected = new HashMap<>();
		this.rounds.select(max).forEach((server) -> selected.put(server, this.known.get(server)));
		return selected;
	}

	private void removeExpired(long nowNanos) {
		this.known.values().removeIf((each) -> !each.limited() && nowNanos - each.atNanos() > UNLIMITED_EXPIRY_NANOS);
		this.rounds.retainAll(this.known.keySet());
		this.limitedSince.keySet().retainAll(this.known.keySet());
	}

	/**
	 * Returns all limits in force, for a host that knows none yet.
	 * @param max maximum number of servers
	 * @return the observations by server
	 */
	public Map<Long, LimitObservation> limitsInForce(int max) {
		Map<Long, LimitObservation> limits = new HashMap<>();
		this.known.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().limited())
			.limit(max)
			.forEach((entry) -> limits.put(entry.getKey(), entry.getValue()));
		return limits;
	}

	/**
	 * Makes all observations older. Needed after this host was suspended: its monotonic
	 * clock may have stood still, so that they would look younger than they are.
	 * @param nanos duration of the suspension, in nanoseconds
	 */
	public void age(long nanos) {
		this.known.replaceAll((server, each) -> new LimitObservation(each.perSecond(), each.atNanos() - nanos));
		this.rounds.clear();
	}

	/**
	 * Returns whether any server is limited.
	 * @return whether a limit is in force
	 */
	public boolean anyInForce() {
		return !this.limitedSince.isEmpty();
	}

	/**
	 * Returns the number of servers with a limit.
	 * @return number of servers
	 */
	public int count() {
		return (int) this.known.values().stream().filter(LimitObservation::limited).count();
	}

}
