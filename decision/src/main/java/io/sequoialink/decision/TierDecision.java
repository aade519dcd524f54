package io.sequoialink.decision;

import java.util.List;
import java.util.Objects;

import io.sequoialink.model.VersionId;

/**
 * A chosen version with its reasons. Immutable and thread-safe.
 *
 * @param version the chosen version
 * @param exploration whether it was chosen to learn, against the lowest expected cost
 * @param considered every version that was weighed
 */
public record TierDecision(VersionId version, boolean exploration, List<Considered> considered) {

	public TierDecision {
		Objects.requireNonNull(version, "version");
		considered = List.copyOf(considered);
	}

	/**
	 * A version that was weighed. Immutable and thread-safe.
	 *
	 * @param version the version
	 * @param chance estimated chance to meet the target
	 * @param lowerBound lower confidence bound of the chance
	 * @param expectedCost expected micro-euros until an accepted answer
	 * @param note one word: chosen, dearer, too_slow, below_target, explored, ...
	 */
	public record Considered(VersionId version, double chance, double lowerBound, double expectedCost, String note) {
	}

}
