package io.sequoialink.gateway.crash;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.sequoialink.decision.crash.Involvement;

/**
 * Requests that this host withdrew from their servers a short time ago, before their
 * responses had begun: dropped for a larger model, cancelled by the client or timed out.
 * A server that had begun to work on one of them may crash for it all the same. Also
 * those whose connection was lost, until this host or another one has proven a crash.
 * Confined to the event loop.
 */
final class AbandonedRequests {

	/**
	 * Time for which a server may still crash for a request that was withdrawn, in
	 * nanoseconds.
	 */
	static final long MAX_DELAY_NANOS = 1_000_000_000L;

	private static final int MAX_REQUESTS = 2048;

	private final Deque<Abandoned> requests = new ArrayDeque<>();

	void add(long server, Set<Long> traits, Involvement involvement, long nowNanos) {
		while (!this.requests.isEmpty() && (this.requests.size() >= MAX_REQUESTS
				|| nowNanos - this.requests.peekFirst().atNanos > 2 * MAX_DELAY_NANOS)) {
			this.requests.removeFirst();
		}
		this.requests.addLast(new Abandoned(server, traits, involvement, nowNanos));
	}

	/**
	 * Returns the traits of the requests for which a server may have crashed.
	 * @param server hash of the server's incarnation
	 * @param crashedNanos monotonic time of the crash
	 * @return how requests with each trait were involved
	 */
	Map<Long, Involvement> involved(long server, long crashedNanos) {
		Map<Long, Involvement> involved = new HashMap<>();
		for (Abandoned request : this.requests) {
			if (request.server == server && crashedNanos - request.atNanos < MAX_DELAY_NANOS) {
				request.traits.forEach((trait) -> involved.merge(trait, request.involvement, Involvement::merge));
			}
		}
		return involved;
	}

	/** A withdrawn request. Immutable. */
	private record Abandoned(long server, Set<Long> traits, Involvement involvement, long atNanos) {
	}

}
