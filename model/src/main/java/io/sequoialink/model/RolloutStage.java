package io.sequoialink.model;

/**
 * One stage of a roll-out. Immutable and thread-safe.
 *
 * @param share share of the new requests of the selected accounts that goes to the
 * candidate, in (0, 1]
 * @param ratedAnswers number of rated answers of the candidate after which the stage ends
 */
public record RolloutStage(double share, int ratedAnswers) {

	public RolloutStage {
		if (!(share > 0 && share <= 1) || ratedAnswers <= 0) {
			throw new IllegalArgumentException("roll-out stage with share " + share + " and " + ratedAnswers
					+ " rated answers: use a share above 0 and up to 1, and a positive count");
		}
	}

}
