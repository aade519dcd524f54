package io.sequoialink.decision.cascade;

import java.util.List;

import io.sequoialink.decision.Attempt;
import io.sequoialink.model.Effect;

/**
 * Picks the answer that a caller gets when several versions have answered. Stateless and
 * thread-safe.
 */
public final class BestAnswer {

	/** What an answer without a rating counts as. */
	private static final double UNRATED = 0.5;

	private BestAnswer() {
	}

	/**
	 * Returns the best answer: the one with the highest rating, the later one of equals;
	 * one without a rating counts as one at the pass mark.
	 * @param attempts all ended attempts, oldest first; not empty
	 * @return the index of the best, or -1 if none gave a whole answer
	 */
	public static int index(List<Attempt> attempts) {
		int best = -1;
		double bestRating = -1;
		for (int i = 0; i < attempts.size(); i++) {
			Attempt attempt = attempts.get(i);
			double rating = attempt.rating().orElse(UNRATED);
			if (attempt.effect() == Effect.DONE && rating >= bestRating) {
				best = i;
				bestRating = rating;
			}
		}
		return best;
	}

}
