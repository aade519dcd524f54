package io.sequoialink.decision;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the version of the first attempt and, after each complete answer, whether to
 * return that answer or to try a more expensive version. Implementations are thread-safe
 * and have neither a clock nor a source of randomness; callers pass both in.
 */
public interface CascadePolicy {

	/**
	 * Chooses the version of the first attempt.
	 * @param request the request
	 * @param candidates the versions it may run on, in tier order, lowest first; not
	 * empty
	 * @param remainingMillis time left until the deadline, in milliseconds
	 * @param random seeded source of randomness for exploration
	 * @return the chosen version and the reasons for the choice
	 */
	TierDecision start(RequestFacts request, List<Candidate> candidates, double remainingMillis,
			RandomGenerator random);

	/**
	 * Decides whether to escalate after a complete answer that has not been sent to the
	 * client yet.
	 * @param request the request
	 * @param candidates the versions it may run on, in tier order, lowest first; not
	 * empty
	 * @param attempts all completed attempts, oldest first; the last one produced the
	 * answer
	 * @param remainingMillis time left until the deadline, in milliseconds
	 * @param random seeded source of randomness
	 * @return the version to try next, or empty to return the best answer so far to the
	 * client
	 */
	Optional<TierDecision> next(RequestFacts request, List<Candidate> candidates, List<Attempt> attempts,
			double remainingMillis, RandomGenerator random);

	/**
	 * Returns how long an answer may be delayed to wait for its rating, which decides
	 * about escalation.
	 * @param remainingMillis time left until the deadline, in milliseconds
	 * @return the longest wait, in milliseconds
	 */
	default double maxRatingWaitMillis(double remainingMillis) {
		return remainingMillis;
	}

	/**
	 * Updates the estimates from a rating; the rating may arrive after the answer was
	 * returned to the client.
	 * @param request the rated request
	 * @param attempt the rated attempt; its rating is empty if the rating service
	 * returned none
	 * @param weight inverse of the probability with which the attempt was sampled for
	 * rating, at least 1
	 */
	void learn(RequestFacts request, Attempt attempt, double weight);

}
