package io.sequoialink.decision.cascade;

import java.util.List;

import io.sequoialink.decision.Attempt;
import io.sequoialink.model.Effect;

/**
 * Selects the answer to return to the client when several versions have answered.
 * Stateless and thread-safe.
 */
public final class BestAnswer {

	/** Rating assumed for an answer without one. */
	private static final double UNRATED_VALUE = 0.5;

	private BestAnswer() {
	}

	/**
	 * Returns the index of the best answer: the one with the highest rating, and among
	 * equal ratings the latest one. An answer without a rating counts as rated 0.5.
	 * @param attempts all completed attempts, oldest first; not empty
	 * @return the index in the list, or -1 if no attempt produced a complete answer
	 */
	public static int index(List<Attempt> attempts) {
		int best = -1;
		double bestRating = -1;
		for (int i = 0; i < attempts.size(); i++) {
			Attempt attempt = attempts.get(i);
			double rating = attempt.rating().orElse(UNRATED_VALUE);
			if (attempt.effect() == Effect.DONE && rating >= bestRating) {
				best = i;
				bestRating = rating;
			}
		}
		return best;
	}

}
