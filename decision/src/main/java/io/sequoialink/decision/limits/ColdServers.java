package io.sequoialink.decision.limits;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The backend servers that are cold for some time yet, and the requests that each takes
 * meanwhile from all hosts together. The key is a hash of the server's incarnation, so a
 * server that restarts begins anew. Times are monotonic, in nanoseconds. Confined to one
 * thread.
 *
 * <p>
 * Invariants: only the passing of time or a younger statement of the server itself ends
 * the cold time earlier than known; a statement whose age is unknown can only prolong it,
 * since a server that is treated as cold for too long loses some traffic and one that is
 * treated as warm too early crashes. At most {@link #MAX_SERVERS} servers are kept, those
 * that turned cold last.
 */
public final class ColdServers {

	/** Rate of a server whose service is not configured to have a limit when cold. */
	public static final double UNLIMITED = Double.POSITIVE_INFINITY;

	static final int MAX_SERVERS = 4096;

	private final Map<Long, Cold> known = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Cold> eldest) {
			return size() > MAX_SERVERS;
		}
	};

	/** Time after which no known server is cold; valid if {@link #anyLimited}. */
	private long lastUntilNanos;

	private boolean anyLimited;

	/**
	 * Records a registration that the server has written after all those recorded before.
	 * @param server hash of the server's incarnation
	 * @param perSecond requests per second of all hosts together, {@link #UNLIMITED} for
	 * any number
	 * @param leftNanos cold time from the arrival of the registration, 0 if it is warm
	 * @param nowNanos time of the arrival
	 * @return whether the server has turned cold with a limit
	 */
	public boolean registered(long server, double perSecond, long leftNanos, long nowNanos) {
		Cold before = unexpired(server, nowNanos);
		boolean younger = before != null && before.byRegistration();
		return record(server, before, new Cold(perSecond, nowNanos, nowNanos + leftNanos, nowNanos, true), younger);
	}

	/**
	 * Records what a response of the server says.
	 * @param server hash of the server's incarnation
	 * @param perSecond requests per second of all hosts together, {@link #UNLIMITED} for
	 * any number
	 * @param leftNanos cold time from the arrival of the response, 0 if it is warm
	 * @param sentNanos time at which the request was sent
	 * @param nowNanos time at which the response arrived
	 * @return whether the server has turned cold with a limit
	 */
	public boolean responded(long server, double perSecond, long leftNanos, long sentNanos, long nowNanos) {
		Cold before = unexpired(server, nowNanos);
		boolean younger = before != null && sentNanos - before.heardNanos() > 0;
		return record(server, before, new Cold(perSecond, nowNanos, nowNanos + leftNanos, nowNanos, false), younger);
	}

	/**
	 * Records what another host knows of the server.
	 * @param server hash of the server's incarnation
	 * @param told the other host's notice
	 * @param nowNanos time at which the notice arrived
	 * @return whether the server has turned cold with a limit
	 */
	public boolean told(long server, ColdNotice told, long nowNanos) {
		Cold after = new Cold(told.perSecond(), nowNanos, nowNanos + told.leftNanos(), nowNanos, false);
		return record(server, unexpired(server, nowNanos), after, false);
	}

	private Cold unexpired(long server, long nowNanos) {
		Cold cold = this.known.get(server);
		return (cold != null && cold.untilNanos() - nowNanos > 0) ? cold : null;
	}

	private boolean record(long server, Cold before, Cold said, boolean younger) {
		if (before == null) {
			boolean cold = said.untilNanos() - said.sinceNanos() > 0;
			if (cold) {
				put(server, said);
			}
			return cold && said.limited();
		}
		Cold after = (younger || said.untilNanos() - before.untilNanos() > 0) ? said : before;
		double perSecond = Math.min(before.perSecond(), said.perSecond());
		put(server, after.with(perSecond, before.limited() ? before.sinceNanos() : said.sinceNanos()));
		return !before.limited() && said.limited();
	}

	private void put(long server, Cold cold) {
		this.known.put(server, cold);
		extendLastUntil(cold);
	}

	private void extendLastUntil(Cold cold) {
		if (cold.limited() && (!this.anyLimited || cold.untilNanos() - this.lastUntilNanos > 0)) {
			this.lastUntilNanos = cold.untilNanos();
			this.anyLimited = true;
		}
	}

	/**
	 * Replaces the limit of a server because the configuration has changed.
	 * @param server hash of the server's incarnation
	 * @param perSecond requests per second of all hosts together, {@link #UNLIMITED} for
	 * any number
	 * @param nowNanos current time
	 * @return whether a limit holds now for a cold server that had none
	 */
	public boolean limit(long server, double perSecond, long nowNanos) {
		Cold before = unexpired(server, nowNanos);
		if (before == null || before.perSecond() == perSecond) {
			return false;
		}
		Cold after = before.with(perSecond, before.limited() ? before.sinceNanos() : nowNanos);
		put(server, after);
		return !before.limited() && after.limited();
	}

	/**
	 * Returns the limit of a server while it is cold.
	 * @param server hash of the server's incarnation
	 * @param nowNanos current time
	 * @return requests per second of all hosts together; empty without such a limit
	 */
	public OptionalDouble perSecond(long server, long nowNanos) {
		Cold cold = limited(server, nowNanos);
		return (cold != null) ? OptionalDouble.of(cold.perSecond()) : OptionalDouble.empty();
	}

	private Cold limited(long server, long nowNanos) {
		Cold cold = this.known.isEmpty() ? null : unexpired(server, nowNanos);
		return (cold != null && cold.limited()) ? cold : null;
	}

	/**
	 * Returns what to tell another host of a server.
	 * @param server hash of the server's incarnation
	 * @param nowNanos current time
	 * @return limit and time left; empty unless the server is cold and limited
	 */
	public Optional<ColdNotice> find(long server, long nowNanos) {
		return Optional.ofNullable(limited(server, nowNanos))
			.map((cold) -> new ColdNotice(cold.perSecond(), cold.untilNanos() - nowNanos));
	}

	/**
	 * Returns since when this host has known that a server is cold.
	 * @param server hash of the server's incarnation
	 * @param nowNanos current time
	 * @return time in nanoseconds; empty unless the server is cold and limited
	 */
	public OptionalLong sinceNanos(long server, long nowNanos) {
		Cold cold = limited(server, nowNanos);
		return (cold != null) ? OptionalLong.of(cold.sinceNanos()) : OptionalLong.empty();
	}

	/**
	 * Returns whether any server is cold and limited.
	 * @param nowNanos current time
	 * @return false if every other question can be left out
	 */
	public boolean anyInForce(long nowNanos) {
		return this.anyLimited && this.lastUntilNanos - nowNanos > 0;
	}

	/**
	 * Returns the number of servers that are cold and limited.
	 * @param nowNanos current time
	 * @return number of servers
	 */
	public int count(long nowNanos) {
		return (int) this.known.keySet().stream().filter((server) -> limited(server, nowNanos) != null).count();
	}

	/**
	 * Forgets the servers that are warm by now.
	 * @param nowNanos current time
	 * @return hashes of those that were limited
	 */
	public List<Long> removeExpired(long nowNanos) {
		if (this.known.isEmpty()) {
			return List.of();
		}
		List<Long> warm = new ArrayList<>();
		this.known.entrySet().removeIf((entry) -> {
			boolean expired = entry.getValue().untilNanos() - nowNanos <= 0;
			if (expired && entry.getValue().limited()) {
				warm.add(entry.getKey());
			}
			return expired;
		});
		this.anyLimited = false;
		this.known.values().forEach(this::extendLastUntil);
		return warm;
	}

	/**
	 * What is known of one server. Immutable.
	 *
	 * @param perSecond requests per second
	 * @param sinceNanos time from which the limit has been known here
	 * @param untilNanos time at which it is warm
	 * @param heardNanos arrival of the statement that says so
	 * @param byRegistration whether that is a registration
	 */
	private record Cold(double perSecond, long sinceNanos, long untilNanos, long heardNanos, boolean byRegistration) {

		private boolean limited() {
			return this.perSecond != UNLIMITED;
		}

		private Cold with(double rate, long since) {
			return new Cold(rate, since, this.untilNanos, this.heardNanos, this.byRegistration);
		}

	}

}
