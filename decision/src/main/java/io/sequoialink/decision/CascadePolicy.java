package io.sequoialink.decision;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the version of the first attempt and, after each whole answer, whether to keep
 * the answer or to try a dearer version. Implementations are thread-safe and have no
 * clock or randomness of their own.
 */
public interface CascadePolicy {

	/**
	 * Chooses the version of the first attempt.
	 * @param request the request
	 * @param candidates the versions it may run on, tier by tier; not empty
	 * @param remainingMillis time left until the deadline
	 * @param random seeded randomness for exploration
	 * @return the chosen version with the reasons
	 */
	TierDecision start(RequestFacts request, List<Candidate> candidates, double remainingMillis,
			RandomGenerator random);

	/**
	 * Decides on a whole answer that can still be taken back.
	 * @param request the request
	 * @param candidates the versions it may run on, tier by tier; not empty
	 * @param attempts all ended attempts, oldest first; the last one gave the answer
	 * @param remainingMillis time left until the deadline
	 * @param random seeded randomness
	 * @return the next version, or empty to give the best answer at hand to the caller
	 */
	Optional<TierDecision> next(RequestFacts request, List<Candidate> candidates, List<Attempt> attempts,
			double remainingMillis, RandomGenerator random);

	/**
	 * Returns how long an answer that could still be taken back may wait for its rating.
	 * @param remainingMillis time left until the deadline
	 * @return the longest wait, in milliseconds
	 */
	default double ratingPatienceMillis(double remainingMillis) {
		return remainingMillis;
	}

	/**
	 * Learns from a rating, also one that arrives after the answer was given.
	 * @param request the rated request
	 * @param attempt the rated attempt, with its rating; without one if the service gave
	 * none
	 * @param weight one over the chance with which the attempt was chosen to be rated, at
	 * least 1
	 */
	void learn(RequestFacts request, Attempt attempt, double weight);

}
