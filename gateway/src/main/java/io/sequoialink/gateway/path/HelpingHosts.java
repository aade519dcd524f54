package io.sequoialink.gateway.path;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.relay.Peer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Chooses the hosts through which this host reaches servers that it does not reach
 * itself. Confined to the event loop.
 *
 * <p>
 * Hosts of the same availability zone come first. Of these, a few are used that are drawn
 * by rendezvous hashing, so that many hosts that are cut off spread over those that are
 * not, without exchanging messages. A host that could not help is left out for a while.
 */
public final class HelpingHosts {

	private static final Logger logger = LoggerFactory.getLogger(HelpingHosts.class);

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

	/** Time for which a host is left out that could not tell whether it is cut off. */
	private static final long UNDECIDED_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** Time for which a host that could not help is left out. */
	private static final long LEFT_OUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Each further failure in a row doubles that time, this many times at most. */
	private static final int MAX_DOUBLINGS = 4;

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

	private final LongSupplier clock;

	private final RandomGenerator random;

	private final Map<String, Record> records = new HashMap<>();

	private boolean lastResortUsed;

	private long lastResortAt;

	private int zoneFailures;

	private long zoneFailedAt;

	/**
	 * Creates a choice among hosts that nothing is known of.
	 * @param self this host
	 * @param others returns the other hosts that are known
	 * @param clock monotonic time in nanoseconds
	 * @param random source of randomness
	 */
	public HelpingHosts(Peer self, Supplier<List<Peer>> others, LongSupplier clock, RandomGenerator random) {
		this.self = self;
		this.others = others;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Returns whether another host is known at all.
	 * @return false if servers can only be reached directly
	 */
	boolean anyKnown() {
		return !this.others.get().isEmpty();
	}

	/**
	 * Returns whether a host is known that may be asked now.
	 * @return whether {@link #choose(Set)} would find one
	 */
	public boolean anyUsable() {
		long now = this.clock.getAsLong();
		List<Peer> known = this.others.get();
		return known.stream().anyMatch((peer) -> usable(peer, now)) || (!known.isEmpty() && lastResortDue(now));
	}

	/**
	 * Chooses a host for a connection.
	 * @param asked names of the hosts that could not help with it
	 * @return the host, empty if none is left
	 */
	Optional<Peer> choose(Set<String> asked) {
		long now = this.clock.getAsLong();
		List<Peer> usable = usableBesides(asked, now);
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
		List<Peer> helpers = usable.stream().filter((peer) -> helpedSince(peer, now - KNOWN_HELPER_NANOS)).toList();
		boolean explores = helpers.size() < USED_HOSTS && this.random.nextInt(EXPLORE_ONE_IN) == 0;
		if (!helpers.isEmpty() && !explores) {
			return helpers;
		}
		List<Peer> sameZone = usable.stream().filter(this::sameZone).toList();
		return (sameZone.isEmpty() || zoneDoubted(now)) ? usable : sameZone;
	}

	private List<Peer> usableBesides(Set<String> asked, long now) {
		return this.others.get().stream().filter((peer) -> !asked.contains(peer.host()) && usable(peer, now)).toList();
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
			.max(Comparator.comparingLong((Peer peer) -> this.records.get(peer.host()).helpedAt))
			.or(() -> Optional.of(drawn));
	}

	private boolean zoneDoubted(long now) {
		return this.zoneFailures >= ZONE_FAILURES && now - this.zoneFailedAt < ZONE_DOUBTED_NANOS;
	}

	/**
	 * Chooses any host, so that hosts of other zones are asked as well.
	 * @param asked names of the hosts that were asked already
	 * @return the host, empty if none is left
	 */
	Optional<Peer> chooseAny(Set<String> asked) {
		long now = this.clock.getAsLong();
		List<Peer> usable = usableBesides(asked, now);
		return any(usable);
	}

	private boolean helpedSince(Peer peer, long sinceNanos) {
		Record record = this.records.get(peer.host());
		return record != null && record.hasHelped && record.helpedAt - sinceNanos > 0;
	}

	private boolean sameZone(Peer peer) {
		return peer.zone().equals(this.self.zone());
	}

	private long weight(Peer peer) {
		return Hashing.wyhashFinal4().hashStream().putString(this.self.host()).putString(peer.host()).getAsLong();
	}

	private boolean usable(Peer peer, long now) {
		Record record = this.records.get(peer.host());
		return record == null || record.failures == 0 || now - record.leftOutUntil >= 0;
	}

	/**
	 * Records that a host opened a connection to a server.
	 * @param peer the host
	 */
	void helped(Peer peer) {
		Record record = this.records.computeIfAbsent(peer.host(), (host) -> new Record());
		this.zoneFailures = sameZone(peer) ? 0 : this.zoneFailures;
		record.failures = 0;
		record.hasHelped = true;
		record.helpedAt = this.clock.getAsLong();
	}

	/**
	 * Records that a host did not help.
	 * @param peer the host
	 * @param reason why, for the log
	 */
	void failed(Peer peer, String reason) {
		long now = this.clock.getAsLong();
		Record record = this.records.computeIfAbsent(peer.host(), (host) -> new Record());
		long leftOut = LEFT_OUT_NANOS << Math.min(MAX_DOUBLINGS, record.failures);
		record.failures++;
		recordZoneFailure(peer);
		record.leftOutUntil = now + leftOut;
		logger.info(GatewayEvents.HELPING_HOST_LEFT_OUT, peer.host(), TimeUnit.NANOSECONDS.toMillis(leftOut), reason);
		Set<String> known = new HashSet<>();
		this.others.get().forEach((other) -> known.add(other.host()));
		this.records.keySet().retainAll(known);
	}

	/**
	 * Records that a host carries as many connections for others as it takes.
	 * @param peer the host
	 */
	void busy(Peer peer) {
		Record record = this.records.computeIfAbsent(peer.host(), (host) -> new Record());
		record.failures = 0;
		failed(peer, "it is busy");
	}

	/**
	 * Records that a host could not connect and does not know whether it is cut off.
	 * @param peer the host
	 */
	void undecided(Peer peer) {
		Record record = this.records.computeIfAbsent(peer.host(), (host) -> new Record());
		record.failures = 1;
		record.leftOutUntil = this.clock.getAsLong() + UNDECIDED_NANOS;
		recordZoneFailure(peer);
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
			Record record = this.records.computeIfAbsent(peer.host(), (host) -> new Record());
			record.failures = 0;
			failed(peer, reason);
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

	/** What is known of a host as a helping host. */
	private static final class Record {

		private int failures;

		private long leftOutUntil;

		private boolean hasHelped;

		private long helpedAt;

	}

}
