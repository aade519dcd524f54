package io.sequoialink.decision;

import java.util.List;
import java.util.Objects;

import io.sequoialink.model.VersionId;

/**
 * The version that a cascade policy chose, with the reasons. Immutable and thread-safe.
 *
 * @param version the chosen version
 * @param exploration whether the version was chosen to collect ratings for it, not
 * because it was the best choice
 * @param considered all versions that were compared; empty if there was no choice
 */
public record TierDecision(VersionId version, boolean exploration, List<Considered> considered) {

	public TierDecision {
		Objects.requireNonNull(version, "version");
		considered = List.copyOf(considered);
	}

	/**
	 * A version that was compared. Immutable and thread-safe.
	 *
	 * @param version the version
	 * @param chance estimated probability that its answer is good enough
	 * @param lowerBound lower confidence bound of that probability
	 * @param expectedCost expected cost until an answer is accepted, in micro-euros
	 * @param note one word: chosen, dearer, too_slow, below_target or explored
	 */
	public record Considered(VersionId version, double chance, double lowerBound, double expectedCost, String note) {
	}

}
