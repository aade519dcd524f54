package io.sequoialink.decision;

import java.util.List;
import java.util.Optional;

import io.sequoialink.model.Brake;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Refusal;

/**
 * Detects requests that crash backend servers and keeps them from reaching further
 * servers. Implementations are thread-safe.
 */
public interface CrashGuard {

	/** A guard that lets every request pass, as a baseline for comparisons. */
	CrashGuard NONE = new CrashGuard() {

		@Override
		public Optional<Refusal> beforeDispatch(RequestFacts request, long nowMillis) {
			return Optional.empty();
		}

		@Override
		public Optional<Brake> afterAttempt(RequestFacts request, Attempt attempt, boolean serverCrashed,
				long nowMillis) {
			return Optional.empty();
		}

		@Override
		public void accept(Brake brake) {
		}

	};

	/**
	 * Decides whether a request may be sent to a server now.
	 * @param request the request
	 * @param nowMillis current time of the injected clock
	 * @return the rejection, or empty if the request may be sent
	 */
	Optional<Refusal> beforeDispatch(RequestFacts request, long nowMillis);

	/**
	 * Records the result of an attempt.
	 * @param request the request
	 * @param attempt the completed attempt
	 * @param serverCrashed whether the server stopped answering during the attempt
	 * @param nowMillis current time of the injected clock
	 * @return a stop order to send to all hosts, if the request is now known to crash
	 * servers
	 */
	Optional<Brake> afterAttempt(RequestFacts request, Attempt attempt, boolean serverCrashed, long nowMillis);

	/**
	 * Applies a stop order that another host sent.
	 * @param brake the stop order
	 */
	void accept(Brake brake);

	/**
	 * Returns whether a request is suspected of crashing servers and must therefore run
	 * on a server that has no other requests.
	 * @param request the request
	 * @param nowMillis current time of the injected clock
	 * @return whether the request is suspected and no stop order rejects it yet
	 */
	default boolean requiresExclusiveServer(RequestFacts request, long nowMillis) {
		return false;
	}

	/**
	 * Returns the fingerprints of the requests that this host suspects of crashing
	 * servers, to be sent to the other hosts.
	 * @param nowMillis current time of the injected clock
	 * @return fingerprints, the newest last
	 */
	default List<String> suspectedFingerprints(long nowMillis) {
		return List.of();
	}

	/**
	 * Records that another host suspects a request of crashing servers.
	 * @param peer the host that saw the crash
	 * @param fingerprint the fingerprint of the request
	 * @param nowMillis current time of the injected clock
	 */
	default void addPeerSuspicion(HostId peer, String fingerprint, long nowMillis) {
	}

}
