package io.sequoialink.gateway.rollout;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Which version a session's last request went to, for sessions of the last moments. Kept
 * also while no roll-out is under way, since a session may have begun before the order.
 * Confined to the event loop; bounded.
 */
final class RecentSessions {

	/** Sessions that are remembered, so that memory is bounded. */
	private static final int MAX_SESSIONS = 20000;

	private final Map<Long, Last> sessions = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Last> eldest) {
			return size() > MAX_SESSIONS;
		}
	};

	/**
	 * Notes a request.
	 * @param session hash of the session
	 * @param version version that it is sent to
	 * @param nowNanos monotonic time
	 */
	void sent(long session, String version, long nowNanos) {
		this.sessions.put(session, new Last(version, nowNanos));
	}

	/**
	 * Notes that a request goes on or has ended; a later one that went to another version
	 * stands.
	 * @param session hash of the session
	 * @param version version that answers it
	 * @param nowNanos monotonic time
	 */
	void active(long session, String version, long nowNanos) {
		Last last = this.sessions.get(session);
		if (last == null || last.version().equals(version)) {
			sent(session, version, nowNanos);
		}
	}

	/**
	 * Lists the sessions of the last moments that are on another version.
	 * @param version version that does not count
	 * @param sinceNanos earliest monotonic time that counts
	 * @return hashes of the sessions
	 */
	List<Long> notOn(String version, long sinceNanos) {
		return this.sessions.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().at() - sinceNanos >= 0)
			.filter((entry) -> !entry.getValue().version().equals(version))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Finds the version of a session's last request.
	 * @param session hash of the session
	 * @param sinceNanos earliest monotonic time that counts
	 * @return the version, if the session is known
	 */
	Optional<String> version(long session, long sinceNanos) {
		Last last = this.sessions.get(session);
		return (last != null && last.at() - sinceNanos >= 0) ? Optional.of(last.version()) : Optional.empty();
	}

	/**
	 * The last request of a session. Immutable.
	 */
	private record Last(String version, long at) {
	}

}
