package io.sequoialink.decision.observation;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Recent notices of backend servers to this host or to its peers, exchanged between the
 * hosts by gossip. A server announces that it is shutting down, or asks the hosts to back
 * off. The key is a hash of the server's incarnation. Confined to one thread.
 *
 * <p>
 * Invariants: notices expire after a fixed time, so that a lost or delayed message only
 * makes the information less recent. A change is gossiped in a fixed number of rounds and
 * not again.
 */
public final class SharedServerNotices {

	/**
	 * Time after which a notice expires, in nanoseconds; for a back-off, counted from its
	 * end.
	 */
	public static final long EXPIRY_NANOS = 3_000_000_000L;

	private static final int MAX_SERVERS = 4096;

	/** Maximum duration of a back-off that is accepted from a peer, in nanoseconds. */
	private static final long MAX_PEER_BACKOFF_NANOS = 10_000_000_000L;

	/**
	 * Difference of times, in nanoseconds, up to which two notices are taken for the same
	 * event received on two paths.
	 */
	private static final long DUPLICATE_TOLERANCE_NANOS = 100_000_000L;

	private final Map<Long, ServerNotice> notices = new HashMap<>();

	private final GossipRounds rounds = new GossipRounds();

	/**
	 * Records that a server announced to this host that it is shutting down.
	 * @param server hash of the server's incarnation
	 * @param nowNanos current monotonic time in nanoseconds
	 */
	public void recordShutdown(long server, long nowNanos) {
		add(server, new ServerNotice(nowNanos, ServerNotice.NEVER));
	}

	/**
	 * Records that a server asked this host to back off.
	 * @param server hash of the server's incarnation
	 * @param untilNanos monotonic time until which the server wants no requests
	 */
	public void recordBackoff(long server, long untilNanos) {
		add(server, new ServerNotice(ServerNotice.NEVER, untilNanos));
	}

	/**
	 * Merges a notice received from a peer.
	 * @param server hash of the server's incarnation
	 * @param received the received notice
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return whether the notice was new to this host
	 */
	public boolean mergeFromPeer(long server, ServerNotice received, long nowNanos) {
		ServerNotice recent = received.withoutEventsBefore(nowNanos - EXPIRY_NANOS);
		return add(server, new ServerNotice(recent.shutdownAtNanos(),
				Math.min(recent.backoffUntilNanos(), nowNanos + MAX_PEER_BACKOFF_NANOS)));
	}

	private boolean add(long server, ServerNotice notice) {
		ServerNotice known = this.notices.getOrDefault(server, ServerNotice.EMPTY);
		if (!notice.addsTo(known, DUPLICATE_TOLERANCE_NANOS)
				|| (known.isEmpty() && this.notices.size() >= MAX_SERVERS)) {
			return false;
		}
		this.notices.put(server, known.merge(notice));
		this.rounds.changed(server);
		return true;
	}

	/**
	 * Returns whether a server announced to this host or a peer that it is shutting down
	 * or asks for a back-off.
	 * @param server hash of the server's incarnation
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return whether other servers should be preferred
	 */
	public boolean shouldAvoid(long server, long nowNanos) {
		ServerNotice known = this.notices.get(server);
		return known != null
				&& (known.backoffUntilNanos() > nowNanos || known.shutdownAtNanos() >= nowNanos - EXPIRY_NANOS);
	}

	/**
	 * Counts the servers for which {@link #shouldAvoid} returns true, for the metrics.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return number of servers that are shutting down or ask for a back-off
	 */
	public int countAvoided(long nowNanos) {
		return (int) this.notices.keySet().stream().filter((server) -> shouldAvoid(server, nowNanos)).count();
	}

	/**
	 * Returns whether there are no notices.
	 * @return whether no notice is stored; expired notices are stored until the next
	 * gossip round
	 */
	public boolean isEmpty() {
		return this.notices.isEmpty();
	}

	/**
	 * Removes expired notices and selects those to send in this gossip round; the ones
	 * sent in the fewest rounds come first.
	 * @param limit maximum number of notices
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the notices to send, by server
	 */
	public Map<Long, ServerNotice> selectForGossip(int limit, long nowNanos) {
		removeExpired(nowNanos);
		Map<Long, ServerNotice> toSend = new HashMap<>();
		this.rounds.select(limit).forEach((server) -> toSend.put(server, this.notices.get(server)));
		return toSend;
	}

	private void removeExpired(long nowNanos) {
		Iterator<Map.Entry<Long, ServerNotice>> all = this.notices.entrySet().iterator();
		while (all.hasNext()) {
			Map.Entry<Long, ServerNotice> entry = all.next();
			ServerNotice recent = entry.getValue().withoutEventsBefore(nowNanos - EXPIRY_NANOS);
			if (recent.isEmpty()) {
				all.remove();
			}
			else {
				entry.setValue(recent);
			}
		}
		this.rounds.retainAll(this.notices.keySet());
	}

	/**
	 * Removes all notices. Needed after this host was suspended: its monotonic clock may
	 * have stood still, so that expired notices would look recent.
	 */
	public void clear() {
		this.notices.clear();
		this.rounds.clear();
	}

}
