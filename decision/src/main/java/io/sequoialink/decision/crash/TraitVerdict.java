package io.sequoialink.decision.crash;

import java.util.Set;

/**
 * Whether a request may run, depending on its traits. Immutable.
 *
 * @param kind whether it may run
 * @param traits the traits that decided, none if it may run freely
 * @param crashes number of crashes that count against them
 */
public record TraitVerdict(Kind kind, Set<Long> traits, int crashes) {

	/** Verdict on a request without a suspected trait. */
	public static final TraitVerdict FREE = new TraitVerdict(Kind.FREE, Set.of(), 0);

	/**
	 * Whether a request may run.
	 */
	public enum Kind {

		/** It may run. */
		FREE,

		/** It may run to find out whether its suspected traits crash the server. */
		TRIAL,

		/** It does not run for now, since another request with its trait is on trial. */
		HELD,

		/** It does not run, since its traits crash servers. */
		BLOCKED

	}

}
