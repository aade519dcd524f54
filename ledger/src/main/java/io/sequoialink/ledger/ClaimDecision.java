package io.sequoialink.ledger;

import java.util.Objects;

/**
 * What a host may do with a non-idempotent request. Immutable and thread-safe.
 */
public sealed interface ClaimDecision {

	/**
	 * This host alone may dispatch the work, once, while {@link ClaimTable#mayDispatch}
	 * holds.
	 *
	 * @param key the claimed work
	 * @param offset the claim's offset, which is its fencing number
	 */
	record Granted(ClaimKey key, long offset) implements ClaimDecision {

		public Granted {
			Objects.requireNonNull(key, "key");
		}

	}

	/**
	 * The work was done before; its recorded outcome is the answer.
	 *
	 * @param outcome the recorded outcome
	 */
	record Replay(RecordedOutcome outcome) implements ClaimDecision {

		public Replay {
			Objects.requireNonNull(outcome, "outcome");
		}

	}

	/**
	 * Another claim is fresh: the work may be under way.
	 *
	 * @param offset the other claim's offset
	 */
	record InProgress(long offset) implements ClaimDecision {
	}

	/**
	 * An earlier claim ended without a recorded outcome; the work is not repeated.
	 *
	 * @param offset the earlier claim's offset
	 */
	record OutcomeUnknown(long offset) implements ClaimDecision {
	}

	/**
	 * The key was used for another request; nothing is run.
	 *
	 * @param offset the earlier claim's offset
	 */
	record KeyReused(long offset) implements ClaimDecision {
	}

}
