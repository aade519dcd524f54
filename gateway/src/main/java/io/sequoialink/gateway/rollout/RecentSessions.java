package io.sequoialink.gateway.rollout;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the version to which the last request of each recent session was sent.
 * Sessions are recorded also while no roll-out is active, because a session may have
 * begun before an operator ordered the roll-out. Confined to the event loop.
 *
 * <p>
 * The least recently used session is dropped when there are too many.
 */
final class RecentSessions {

	/** Maximum number of remembered sessions; bounds the memory. */
	private static final int MAX_SESSIONS = 20000;

	private final Map<Long, LastRequest> sessions = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, LastRequest> eldest) {
			return size() > MAX_SESSIONS;
		}
	};

	/**
	 * Records a request of a session.
	 * @param session hash of the session
	 * @param version version to which the request is sent
	 * @param nowNanos monotonic time in nanoseconds
	 */
	void recordRequest(long session, String version, long nowNanos) {
		this.sessions.put(session, new LastRequest(version, nowNanos));
	}

	/**
	 * Records that a request is still running or has ended, so that its session counts as
	 * recent. Ignored if a later request of the session was sent to another version.
	 * @param session hash of the session
	 * @param version version that answers the request
	 * @param nowNanos monotonic time in nanoseconds
	 */
	void refresh(long session, String version, long nowNanos) {
		LastRequest last = this.sessions.get(session);
		if (last == null || last.version().equals(version)) {
			recordRequest(session, version, nowNanos);
		}
	}

	/**
	 * Lists the recent sessions whose last request went to any other version.
	 * @param version version to exclude
	 * @param sinceNanos monotonic time; sessions without activity since then are left out
	 * @return hashes of the sessions
	 */
	List<Long> onOtherVersions(String version, long sinceNanos) {
		return this.sessions.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().atNanos() - sinceNanos >= 0)
			.filter((entry) -> !entry.getValue().version().equals(version))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns the version to which a session's last request went.
	 * @param session hash of the session
	 * @param sinceNanos monotonic time; a session without activity since then is not
	 * found
	 * @return the version, or empty if the session is not recent
	 */
	Optional<String> lastVersion(long session, long sinceNanos) {
		LastRequest last = this.sessions.get(session);
		return (last != null && last.atNanos() - sinceNanos >= 0) ? Optional.of(last.version()) : Optional.empty();
	}

	/**
	 * Version of a session's last request and the time of the session's last activity.
	 * Immutable.
	 */
	private record LastRequest(String version, long atNanos) {
	}

}
