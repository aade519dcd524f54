package io.sequoialink.remote;

import java.util.OptionalDouble;

import io.sequoialink.model.ClassId;
import io.sequoialink.model.RequestId;

/**
 * The platform's service that rates answers. Ratings are noisy, late and sometimes
 * missing. Implementations are thread-safe; the call blocks for up to the service's
 * delay.
 */
@FunctionalInterface
public interface RatingService {

	/**
	 * Rates one answer.
	 * @param answer the answer with its request
	 * @return a rating in [0, 1], or empty if the service gives none
	 * @throws RatingUnavailableException if the service can't be reached
	 */
	OptionalDouble rate(RatedAnswer answer) throws RatingUnavailableException;

	/**
	 * An answer to rate. Immutable and thread-safe.
	 *
	 * @param request the request
	 * @param attempt the attempt that gave the answer, from 0
	 * @param requestClass the class of the request
	 * @param prompt the prompt's text
	 * @param answer the answer's text
	 */
	record RatedAnswer(RequestId request, int attempt, ClassId requestClass, String prompt, String answer) {
	}

}
