package io.sequoialink.model;

import java.util.Objects;

/**
 * An order to stop something, spread between hosts without agreement. Immutable and
 * thread-safe. A brake is only ever added; it ends by a configuration change whose
 * revision is above {@code revision}.
 *
 * @param scope what is stopped
 * @param target the version, the hexadecimal request fingerprint or the server
 * @param reason one sentence for people
 * @param origin the host that set it
 * @param revision configuration revision at which it was set
 * @param atMillis when it was set, epoch milliseconds
 */
public record Brake(Scope scope, String target, String reason, HostId origin, long revision, long atMillis) {

	public Brake {
		Objects.requireNonNull(scope, "scope");
		Identifiers.check("brake target", target);
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(origin, "origin");
	}

	/** What a brake stops. */
	public enum Scope {

		/** A candidate version receives no new work. */
		VERSION,

		/** Requests with one fingerprint are refused. */
		FINGERPRINT,

		/** A backend server receives no new work. */
		SERVER

	}

}
