package io.sequoialink.decision;

import java.util.List;
import java.util.Optional;

import io.sequoialink.model.Brake;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.VersionId;

/**
 * Assigns a share of the new requests to the candidate versions of roll-outs and decides,
 * from statistics that all hosts share, whether a roll-out goes on, completes or is
 * rolled back. Implementations are thread-safe and have no clock of their own.
 */
public interface RolloutPolicy {

	/**
	 * Replaces the version that the cascade chose by the candidate of its roll-out, or
	 * keeps it. A request that is assigned to a candidate takes one credit of the
	 * roll-out until its outcome has been recorded; credits limit how many requests run
	 * on the candidate before their outcomes are known.
	 * @param view the configuration
	 * @param account the client account
	 * @param request the request; a continued session never changes its version
	 * @param chosen the version that the cascade chose
	 * @param nowMillis current time of the injected clock
	 * @return the version to run the request on
	 */
	VersionId selectVersion(CatalogueView view, ClientAccount account, RequestFacts request, VersionId chosen,
			long nowMillis);

	/**
	 * Applies a stop order that another host sent.
	 * @param brake the stop order
	 */
	default void accept(Brake brake) {
	}

	/**
	 * Records the outcome of an attempt on any version. Called when the attempt ends and,
	 * for a complete answer, again when its rating has arrived or is no longer awaited.
	 * @param request the request
	 * @param attempt the attempt, with its rating if there is one
	 * @param nowMillis current time of the injected clock
	 */
	void recordOutcome(RequestFacts request, Attempt attempt, long nowMillis);

	/**
	 * Evaluates all roll-outs and the stable versions.
	 * @param view the configuration
	 * @param nowMillis current time of the injected clock
	 * @return stop orders to send to all hosts, and roll-out changes to record
	 */
	List<Action> evaluate(CatalogueView view, long nowMillis);

	/**
	 * Returns this host's own answer statistics, to be sent to the other hosts, which
	 * merge them into theirs.
	 * @return a payload of bounded size
	 */
	byte[] exportStatistics();

	/**
	 * Merges the answer statistics of another host. Duplicate or outdated payloads have
	 * no effect.
	 * @param payload the payload that the other host returned
	 */
	void mergeStatistics(byte[] payload);

	/**
	 * A stop order or a change of a roll-out that the evaluation calls for. Immutable and
	 * thread-safe.
	 *
	 * @param brake the stop order to send to all hosts, if the version must get no more
	 * requests
	 * @param change the new state of the roll-out to record, if it changes
	 * @param explanation one sentence for operators
	 */
	record Action(Optional<Brake> brake, Optional<Rollout> change, String explanation) {
	}

}
