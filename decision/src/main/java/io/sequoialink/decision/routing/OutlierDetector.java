package io.sequoialink.decision.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.sequoialink.model.ServerId;

/**
 * Ejects servers after several consecutive failures, for a duration that doubles with
 * each ejection. At most a configured share of the servers is ejected at the same time,
 * so that the others are not overloaded; servers with the most ejections have precedence.
 * Thread-safe: one lock, a leaf in the lock order.
 */
public final class OutlierDetector {

	private final OutlierParameters parameters;

	private final Map<ServerId, ServerState> states = new HashMap<>();

	public OutlierDetector(OutlierParameters parameters) {
		this.parameters = parameters;
	}

	/**
	 * Records the result of an attempt.
	 * @param server the server
	 * @param failed whether the server caused a failure; a rejection for lack of capacity
	 * and a cancellation by the client are no failures
	 * @param nowMillis current time of the injected clock
	 */
	public synchronized void recordResult(ServerId server, boolean failed, long nowMillis) {
		ServerState state = this.states.get(server);
		if (!failed) {
			if (state != null) {
				state.consecutiveFailures = 0;
			}
			return;
		}
		if (state == null) {
			state = new ServerState();
			this.states.put(server, state);
		}
		if (nowMillis - state.lastFailureMillis > this.parameters.forgetMillis()) {
			state.ejections = 0;
		}
		state.lastFailureMillis = nowMillis;
		state.consecutiveFailures++;
		if (state.consecutiveFailures >= this.parameters.consecutiveFailures()
				&& nowMillis >= state.ejectedUntilMillis) {
			state.ejectedUntilMillis = nowMillis + ejectionMillis(state.ejections);
			state.ejections++;
			state.consecutiveFailures = 0;
		}
	}

	/**
	 * Returns the servers that are currently ejected.
	 * @param servers all known servers
	 * @param nowMillis current time of the injected clock
	 * @return ejected servers, at most the configured share of the known ones
	 */
	public synchronized Set<ServerId> ejectedServers(Collection<ServerId> servers, long nowMillis) {
		int maxEjected = (int) Math.floor(this.parameters.maxShare() * servers.size());
		List<ServerId> ejected = servers.stream()
			.filter((server) -> ejectedUntil(server) > nowMillis)
			.sorted(Comparator.comparingInt((ServerId server) -> -this.states.get(server).ejections)
				.thenComparing(Comparator.naturalOrder()))
			.toList();
		return ejected.stream().limit(maxEjected).collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns the current number of consecutive failures of a server.
	 * @param server the server
	 * @return number of failures since the last success or ejection
	 */
	public synchronized int consecutiveFailures(ServerId server) {
		ServerState state = this.states.get(server);
		return (state != null) ? state.consecutiveFailures : 0;
	}

	/**
	 * Removes the state of all servers except the given ones.
	 * @param servers all known servers
	 */
	public synchronized void retainOnly(Collection<ServerId> servers) {
		this.states.keySet().retainAll(servers);
	}

	private long ejectedUntil(ServerId server) {
		ServerState state = this.states.get(server);
		return (state != null) ? state.ejectedUntilMillis : Long.MIN_VALUE;
	}

	private long ejectionMillis(int earlierEjections) {
		long unlimited = this.parameters.baseMillis() << Math.min(earlierEjections, Integer.SIZE - 1);
		return Math.min(this.parameters.maxMillis(), unlimited);
	}

	private static final class ServerState {

		private int consecutiveFailures;

		private int ejections;

		private long lastFailureMillis;

		private long ejectedUntilMillis = Long.MIN_VALUE;

	}

}
