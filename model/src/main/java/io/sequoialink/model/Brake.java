package io.sequoialink.model;

import java.util.Objects;

/**
 * An emergency stop (a stop order) of a model version, a request fingerprint or a backend
 * server. Each host may set one on its own; brakes are gossiped to all hosts without
 * consensus. A brake is never removed: it ends when the configuration changes to a
 * revision above {@code revision}. Immutable and thread-safe.
 *
 * @param scope kind of thing that is stopped
 * @param target identifier of the version or server, or hexadecimal request fingerprint
 * @param reason one sentence that explains the stop to people
 * @param origin host that set the brake
 * @param revision revision of the configuration when it was set
 * @param atMillis time at which it was set, in milliseconds since 1970
 */
public record Brake(Scope scope, String target, String reason, HostId origin, long revision, long atMillis) {

	public Brake {
		Objects.requireNonNull(scope, "scope");
		Identifiers.check("brake target", target);
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(origin, "origin");
	}

	/** Kind of thing that a brake stops. */
	public enum Scope {

		/** A candidate version: it receives no new requests. */
		VERSION,

		/** A request fingerprint: requests with this fingerprint are rejected. */
		FINGERPRINT,

		/** A backend server: it receives no new requests. */
		SERVER

	}

}
