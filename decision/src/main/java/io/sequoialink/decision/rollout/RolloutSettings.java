package io.sequoialink.decision.rollout;

/**
 * Parameters of roll-outs. Immutable and thread-safe; every value lies in its range.
 *
 * @param credits maximum number of unresolved answers (in flight, or complete but not
 * rated yet) of a candidate in the whole fleet at first, 1 to 10,000
 * @param maxCredits the same limit once the candidate has many rated answers, at least
 * {@code credits}
 * @param answersPerCredit number of rated answers that add one credit, at least 1
 * @param alpha probability that one test, however often it is evaluated, stops a
 * candidate that is as good as the version in force (the stable version of the roll-out),
 * in (0, 0.5)
 * @param restartAlpha the same for one restart of a test, which counts only the answers
 * after the restart to notice that a version has become worse, in (0, 0.5); there is a
 * restart every {@code restartAnswers}
 * @param beta probability that the test misses a bad candidate, in (0, 0.5); used for its
 * expected sample size
 * @param restartAnswers number of answers between two restarts, at least 1
 * @param restarts maximum number of restarts after which answers are tested, the newest
 * ones, 1 to 1,000
 * @param referenceAnswers number of answers of the version in force before the candidate
 * receives any request, at least 1
 * @param ratingTolerance decrease of the mean rating that is accepted, in [0, 1)
 * @param minFailureShare failure share that is always accepted, in (0, 1)
 * @param ratingTimeoutMillis time after an answer until it counts as unrated, in
 * milliseconds
 */
public record RolloutSettings(int credits, int maxCredits, int answersPerCredit, double alpha, double restartAlpha,
		double beta, int restartAnswers, int restarts, int referenceAnswers, double ratingTolerance,
		double minFailureShare, long ratingTimeoutMillis) {

	public RolloutSettings {
		require(credits >= 1 && credits <= 10_000, "credits", credits, "1 to 10,000 answers");
		require(maxCredits >= credits, "maxCredits", maxCredits, "at least credits");
		require(answersPerCredit >= 1, "answersPerCredit", answersPerCredit, "at least 1 answer");
		require(alpha > 0 && alpha < 0.5, "alpha", alpha, "above 0 and below 0.5");
		require(restartAlpha > 0 && restartAlpha < 0.5, "restartAlpha", restartAlpha, "above 0 and below 0.5");
		require(beta > 0 && beta < 0.5, "beta", beta, "above 0 and below 0.5");
		require(restartAnswers >= 1, "restartAnswers", restartAnswers, "at least 1 answer");
		require(restarts >= 1 && restarts <= 1_000, "restarts", restarts, "1 to 1,000");
		require(referenceAnswers >= 1, "referenceAnswers", referenceAnswers, "at least 1 answer");
		require(ratingTolerance >= 0 && ratingTolerance < 1, "ratingTolerance", ratingTolerance, "0 up to below 1");
		require(minFailureShare > 0 && minFailureShare < 1, "minFailureShare", minFailureShare, "between 0 and 1");
		require(ratingTimeoutMillis > 0, "ratingTimeoutMillis", ratingTimeoutMillis, "above 0 ms");
	}

	/**
	 * Returns the default parameters.
	 * @return the defaults
	 */
	public static RolloutSettings defaults() {
		return new RolloutSettings(16, 64, 16, 0.003, 0.00003, 0.05, 16, 16, 200, 0.01, 0.01, 60_000);
	}

	/**
	 * Returns a copy with another limit of the candidate's unresolved answers (credits).
	 * @param newCredits initial maximum number of unresolved answers
	 * @param newMaxCredits final maximum number of unresolved answers
	 * @return the changed copy
	 */
	public RolloutSettings withCredits(int newCredits, int newMaxCredits) {
		return new RolloutSettings(newCredits, newMaxCredits, this.answersPerCredit, this.alpha, this.restartAlpha,
				this.beta, this.restartAnswers, this.restarts, this.referenceAnswers, this.ratingTolerance,
				this.minFailureShare, this.ratingTimeoutMillis);
	}

	/**
	 * Returns a copy with another minimum number of reference answers.
	 * @param newReferenceAnswers number of answers of the version in force before the
	 * candidate receives any request
	 * @return the changed copy
	 */
	public RolloutSettings withReferenceAnswers(int newReferenceAnswers) {
		return new RolloutSettings(this.credits, this.maxCredits, this.answersPerCredit, this.alpha, this.restartAlpha,
				this.beta, this.restartAnswers, this.restarts, newReferenceAnswers, this.ratingTolerance,
				this.minFailureShare, this.ratingTimeoutMillis);
	}

	private static void require(boolean holds, String name, double value, String accepted) {
		if (!holds) {
			throw new IllegalArgumentException("rollout." + name + " is " + value + ": use " + accepted);
		}
	}

}
