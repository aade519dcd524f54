package io.sequoialink.decision;

import java.util.List;
import java.util.Optional;

import io.sequoialink.model.Brake;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Refusal;

/**
 * Contains requests that crash backend servers. Implementations are thread-safe.
 */
public interface CrashGuard {

	/** The baseline that contains nothing. */
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
	 * Decides whether a request may be dispatched now.
	 * @param request the request
	 * @param nowMillis the injected clock
	 * @return empty if it may; otherwise why not
	 */
	Optional<Refusal> beforeDispatch(RequestFacts request, long nowMillis);

	/**
	 * Takes the end of an attempt.
	 * @param request the request
	 * @param attempt the attempt
	 * @param serverCrashed whether the server stopped answering during the attempt
	 * @param nowMillis the injected clock
	 * @return a brake to spread, if the request is now known to crash servers
	 */
	Optional<Brake> afterAttempt(RequestFacts request, Attempt attempt, boolean serverCrashed, long nowMillis);

	/**
	 * Takes a brake that a peer has spread.
	 * @param brake the brake
	 */
	void accept(Brake brake);

	/**
	 * Returns whether a request must run alone on its server, as a suspect.
	 * @param request the request
	 * @param nowMillis the injected clock
	 * @return whether it is suspect and not braked
	 */
	default boolean needsSoleServer(RequestFacts request, long nowMillis) {
		return false;
	}

	/**
	 * Returns the fingerprints that this host suspects, to be spread to its peers.
	 * @param nowMillis the injected clock
	 * @return fingerprints, the newest last
	 */
	default List<String> suspects(long nowMillis) {
		return List.of();
	}

	/**
	 * Takes a suspicion that a peer has spread.
	 * @param peer the host that saw the crash
	 * @param fingerprint the fingerprint
	 * @param nowMillis the injected clock
	 */
	default void suspect(HostId peer, String fingerprint, long nowMillis) {
	}

}
