package io.sequoialink.gateway.path;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sequoialink.gateway.relay.Peer;

/**
 * Chooses the hosts through which this host reaches servers of one service that it does
 * not reach itself. Confined to the event loop.
 *
 * <p>
 * Hosts of the same availability zone come first. Of these, a few are used that are drawn
 * by rendezvous hashing, so that many hosts that are cut off spread over those that are
 * not, without exchanging messages. A host that could not help is left out for a while:
 * for this service only, unless it did not answer at all or is busy.
 */
final class ServiceHelpers {

	/** Number of hosts among which connections are spread. */
	private static final int USED_HOSTS = 3;

	/**
	 * Time between two questions to hosts that are left out, when all known ones are: a
	 * single one that could help must not be missed for long because it was slow once.
	 */
	private static final long LAST_RESORT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/** Time for which a host that helped is asked first in that case. */
	private static final long LAST_HELPER_NANOS = TimeUnit.SECONDS.toNanos(30);

	/**
	 * One in so many connections looks for a further host while few are known to help.
	 */
	private static final int EXPLORE_ONE_IN = 4;

	/**
	 * Time for which a host that helped is asked before others, of whatever zone.
	 */
	private static final long KNOWN_HELPER_NANOS = TimeUnit.SECONDS.toNanos(5);

	/**
	 * Time for which a host that helped is not blamed if a server does not answer it.
	 */
	private static final long TRUSTED_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Number of hosts of this host's zone that failed in a row after which those of other
	 * zones are asked too: the whole zone may be cut off.
	 */
	private static final int ZONE_FAILURES = 2;

	/** Time for which that holds. */
	private static final long ZONE_DOUBTED_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final Peer self;

	private final Supplier<List<Peer>> others;

	private final LeftOutHosts leftOutEverywhere;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private final LeftOutHosts leftOutHere;

	private final Map<String, Long> helpedAt = new HashMap<>();

	private boolean lastResortUsed;

	private long lastResortAt;

	private int zoneFailures;

	private long zoneFailedAt;

	/**
	 * Creates a choice among hosts that nothing is known of.
	 * @param service name of the service
	 * @param self this host
	 * @param others returns the other hosts that are known
	 * @param leftOutEverywhere hosts that are left out for all services
	 * @param clock monotonic time in nanoseconds
	 * @param random source of randomness
	 */
	ServiceHelpers(String service, Peer self, Supplier<List<Peer>> others, LeftOutHosts leftOutEverywhere,
			LongSupplier clock, RandomGenerator random) {
		this.self = self;
		this.others = others;
		this.leftOutEverywhere = leftOutEverywhere;
		this.clock = clock;
		this.random = random;
		this.leftOutHere = new LeftOutHosts(service, clock);
	}

	/**
	 * Returns whether a host is known that may be asked now.
	 * @return whether {@link #choose(Set)} would find one
	 */
	boolean anyUsable() {
		long now = this.clock.getAsLong();
		List<Peer> known = this.others.get();
		return known.stream().anyMatch(this::usable) || (!known.isEmpty() && lastResortDue(now));
	}

	/**
	 * Chooses a host for a connection.
	 * @param asked names of the hosts that could not help with it
	 * @return the host, empty if none is left
	 */
	Optional<Peer> choose(Set<String> asked) {
		long now = this.clock.getAsLong();
		List<Peer> usable = usableBesides(asked);
		if (usable.isEmpty() && lastResortDue(now)) {
			return lastResort(asked, now);
		}
		List<Peer> drawn = preferred(usable, now).stream()
			.sorted(Comparator.comparingLong((Peer peer) -> weight(peer)))
			.limit(USED_HOSTS)
			.toList();
		return any(drawn);
	}

	// Hosts that helped of late, or else those of this host's zone unless it is doubted.
	private List<Peer> preferred(List<Peer> usable, long now) {
		List<Peer> helpers = recentHelpers(usable, now);
		boolean explores = helpers.size() < USED_HOSTS && this.random.nextInt(EXPLORE_ONE_IN) == 0;
		if (!helpers.isEmpty() && !explores) {
			return helpers;
		}
		List<Peer> sameZone = usable.stream().filter(this::sameZone).toList();
		return (sameZone.isEmpty() || zoneDoubted(now)) ? usable : sameZone;
	}

	private List<Peer> usableBesides(Set<String> asked) {
		return this.others.get().stream().filter((peer) -> !asked.contains(peer.host()) && usable(peer)).toList();
	}

	private Optional<Peer> any(List<Peer> peers) {
		return peers.isEmpty() ? Optional.empty() : Optional.of(peers.get(this.random.nextInt(peers.size())));
	}

	private boolean lastResortDue(long now) {
		return !this.lastResortUsed || now - this.lastResortAt >= LAST_RESORT_NANOS;
	}

	// All known hosts are left out. The one that helped last is the likeliest to help
	// again.
	private Optional<Peer> lastResort(Set<String> asked, long now) {
		this.lastResortUsed = true;
		this.lastResortAt = now;
		List<Peer> left = this.others.get().stream().filter((peer) -> !asked.contains(peer.host())).toList();
		if (left.isEmpty()) {
			return Optional.empty();
		}
		Peer drawn = left.get(this.random.nextInt(left.size()));
		return left.stream()
			.filter((peer) -> helpedSince(peer, now - LAST_HELPER_NANOS))
			.max(Comparator.comparingLong((Peer peer) -> this.helpedAt.get(peer.host())))
			.or(() -> Optional.of(drawn));
	}

	private boolean zoneDoubted(long now) {
		return this.zoneFailures >= ZONE_FAILURES && now - this.zoneFailedAt < ZONE_DOUBTED_NANOS;
	}

	/**
	 * Chooses a host that is asked whether a server has ended: one that has helped of
	 * late, as it is not cut off itself, or else any, so that hosts of other zones are
	 * asked as well.
	 * @param asked names of the hosts that were asked already
	 * @return the host, empty if none is left
	 */
	Optional<Peer> chooseWitness(Set<String> asked) {
		List<Peer> usable = usableBesides(asked);
		return any(recentHelpers(usable, this.clock.getAsLong())).or(() -> any(usable));
	}

	private List<Peer> recentHelpers(List<Peer> among, long now) {
		return among.stream().filter((peer) -> helpedSince(peer, now - KNOWN_HELPER_NANOS)).toList();
	}

	private boolean helpedSince(Peer peer, long sinceNanos) {
		Long at = this.helpedAt.get(peer.host());
		return at != null && at - sinceNanos > 0;
	}

	private boolean sameZone(Peer peer) {
		return peer.zone().equals(this.self.zone());
	}

	private long weight(Peer peer) {
		return Hashing.wyhashFinal4().hashStream().putString(this.self.host()).putString(peer.host()).getAsLong();
	}

	private boolean usable(Peer peer) {
		return !this.leftOutHere.contains(peer) && !this.leftOutEverywhere.contains(peer);
	}

	/**
	 * Records that a host opened a connection to a server.
	 * @param peer the host
	 */
	void helped(Peer peer) {
		this.zoneFailures = sameZone(peer) ? 0 : this.zoneFailures;
		this.leftOutHere.remove(peer);
		this.leftOutEverywhere.remove(peer);
		long now = this.clock.getAsLong();
		this.helpedAt.values().removeIf((at) -> now - at > LAST_HELPER_NANOS);
		this.helpedAt.put(peer.host(), now);
	}

	/**
	 * Records that a host answered that it reaches no server of the service either.
	 * @param peer the host
	 * @param reason why, for the log
	 */
	void cutOff(Peer peer, String reason) {
		recordZoneFailure(peer);
		this.leftOutHere.leaveOutLonger(peer, reason);
	}

	/**
	 * Records that a host did not answer or that a connection to it was lost, which says
	 * nothing of a single service.
	 * @param peer the host
	 * @param reason what happened, for the log
	 */
	void unreachable(Peer peer, String reason) {
		recordZoneFailure(peer);
		this.leftOutEverywhere.leaveOutLonger(peer, reason);
	}

	/**
	 * Records that a host carries as many connections for others as it takes.
	 * @param peer the host
	 */
	void busy(Peer peer) {
		recordZoneFailure(peer);
		this.leftOutEverywhere.leaveOut(peer, "it is busy");
	}

	/**
	 * Records that a host could not connect and does not know whether it is cut off.
	 * @param peer the host
	 */
	void undecided(Peer peer) {
		recordZoneFailure(peer);
		this.leftOutHere.leaveOutBriefly(peer);
	}

	private void recordZoneFailure(Peer peer) {
		if (sameZone(peer)) {
			this.zoneFailures++;
			this.zoneFailedAt = this.clock.getAsLong();
		}
	}

	/**
	 * Records that a server did not answer a host, which may be cut off itself unless it
	 * has just helped.
	 * @param peer the host
	 * @param reason what happened, for the log
	 */
	void doubted(Peer peer, String reason) {
		if (!trusted(peer)) {
			recordZoneFailure(peer);
			this.leftOutHere.leaveOut(peer, reason);
		}
	}

	/**
	 * Returns whether a host has just helped, so that what it says of a server counts.
	 * @param peer the host
	 * @return whether it opened a connection of late
	 */
	boolean trusted(Peer peer) {
		return helpedSince(peer, this.clock.getAsLong() - TRUSTED_NANOS);
	}

}
