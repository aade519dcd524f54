package io.sequoialink.ledger;

import java.time.Duration;

import io.sequoialink.model.RequestId;
import io.sequoialink.remote.LogUnavailableException;

/**
 * At-most-once execution of non-idempotent work. The first claim in log order wins and is
 * never transferred. Implementations are thread-safe; methods that append block.
 */
public interface ClaimTable {

	/**
	 * Claims work.
	 * @param key the work
	 * @param request the request that wants to run it
	 * @param fingerprint digest of the request's method, path and body
	 * @param timeout the longest time to wait for the log
	 * @return what this host may do
	 * @throws LogUnavailableException if the claim could not be settled; nothing was run
	 * and this host will not run it
	 */
	ClaimDecision claim(ClaimKey key, RequestId request, String fingerprint, Duration timeout)
			throws LogUnavailableException;

	/**
	 * Returns whether a granted claim is still fresh by the monotonic clock. Must be
	 * asked directly before the dispatch, and the answer is {@code true} at most once a
	 * claim.
	 * @param claim the granted claim
	 * @return whether this host may dispatch now
	 */
	boolean mayDispatch(ClaimDecision.Granted claim);

	/**
	 * Records the outcome of dispatched work, in the background and with retries until
	 * the log takes it.
	 * @param claim the granted claim
	 * @param outcome what the service answered
	 */
	void recordOutcome(ClaimDecision.Granted claim, RecordedOutcome outcome);

	/**
	 * Records that the work was never dispatched, which frees the key. Must not be called
	 * after {@link #mayDispatch} returned {@code true}, unless the dispatch is known to
	 * have had no effect.
	 * @param claim the granted claim
	 */
	void recordNotDispatched(ClaimDecision.Granted claim);

	/**
	 * Appends what is recorded in the background, once, so that a repetition of the call
	 * finds it. Blocks for one append; a failure is tried again in the background.
	 * @return the records that the log has not taken yet
	 */
	default int flush() {
		return 0;
	}

}
