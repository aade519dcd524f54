package io.sequoialink.decision.cascade;

import java.util.Optional;
import java.util.OptionalDouble;

import io.sequoialink.model.ClassId;
import io.sequoialink.model.VersionId;

/**
 * Chances that are known without evidence. The default knows none; an experiment may give
 * the true ones to find what is attainable. Implementations are thread-safe.
 */
@FunctionalInterface
public interface ChanceSource {

	/** Knows nothing: every chance is learnt from ratings. */
	ChanceSource NONE = (requestClass, failed, version) -> OptionalDouble.empty();

	/**
	 * Returns the chance that a version's answer is good enough.
	 * @param requestClass class of the request
	 * @param failed the version whose answer was not good enough before, if any
	 * @param version the version
	 * @return the chance, or empty if it has to be learnt
	 */
	OptionalDouble chance(ClassId requestClass, Optional<VersionId> failed, VersionId version);

}
