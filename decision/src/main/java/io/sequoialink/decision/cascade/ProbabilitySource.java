package io.sequoialink.decision.cascade;

import java.util.Optional;
import java.util.OptionalDouble;

import io.sequoialink.model.ClassId;
import io.sequoialink.model.VersionId;

/**
 * Supplies success probabilities that are known in advance. The default supplies none, so
 * that all are learnt from ratings; an experiment can supply the true probabilities to
 * measure the best attainable result. Implementations are thread-safe.
 */
@FunctionalInterface
public interface ProbabilitySource {

	/** Supplies no probabilities: all are learnt from ratings. */
	ProbabilitySource NONE = (requestClass, failed, version) -> OptionalDouble.empty();

	/**
	 * Returns the probability that a version's answer is good enough.
	 * @param requestClass class of the request
	 * @param failed the version that was tried before and whose answer was not good
	 * enough, if any
	 * @param version the version to try
	 * @return the probability, or empty if it has to be learnt
	 */
	OptionalDouble successProbability(ClassId requestClass, Optional<VersionId> failed, VersionId version);

}
