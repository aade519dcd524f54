package io.sequoialink.decision;

import java.util.List;
import java.util.Optional;

import io.sequoialink.model.Brake;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.VersionId;

/**
 * Places new work on the candidates of roll-outs and judges them by shared evidence.
 * Implementations are thread-safe and have no clock of their own.
 */
public interface RolloutPolicy {

	/**
	 * Replaces a chosen version by its candidate, or keeps it. A placed request takes one
	 * credit, which {@link #observe} gives back.
	 * @param view the configuration
	 * @param account the client account
	 * @param request the request; sessions that go on are never moved
	 * @param chosen the version that the cascade chose
	 * @param nowMillis the injected clock
	 * @return the version to run
	 */
	VersionId place(CatalogueView view, ClientAccount account, RequestFacts request, VersionId chosen, long nowMillis);

	/**
	 * Takes a brake that a peer has spread.
	 * @param brake the brake
	 */
	default void accept(Brake brake) {
	}

	/**
	 * Takes the outcome of an attempt on any version: at its end, and for a whole answer
	 * again when its rating has arrived or was given up.
	 * @param request the request
	 * @param attempt the attempt, with its rating if there is one
	 * @param nowMillis the injected clock
	 */
	void observe(RequestFacts request, Attempt attempt, long nowMillis);

	/**
	 * Judges all roll-outs and the versions in force.
	 * @param view the configuration
	 * @param nowMillis the injected clock
	 * @return brakes to spread and changes to make
	 */
	List<Action> judge(CatalogueView view, long nowMillis);

	/**
	 * Returns this host's own evidence, to be merged by its peers.
	 * @return a payload of bounded size
	 */
	byte[] evidence();

	/**
	 * Merges the evidence of a peer; repeated or old evidence changes nothing.
	 * @param payload what {@link #evidence} returned there
	 */
	void merge(byte[] payload);

	/**
	 * Something to do about a version. Immutable and thread-safe.
	 *
	 * @param brake the brake to spread, if the version must stop now
	 * @param change the roll-out as it should be recorded, if it changes
	 * @param explanation one sentence for people
	 */
	record Action(Optional<Brake> brake, Optional<Rollout> change, String explanation) {
	}

}
