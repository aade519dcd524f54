package io.sequoialink.gateway.place;

/**
 * What a request is expected to need at a server of usual speed, beside the processing of
 * its prompt. Immutable.
 *
 * @param usualMillis usual time until the response of a plain service, in milliseconds; 0
 * if it is not known
 * @param outputTokens expected tokens of the output of an inference engine; 0 if that is
 * not known
 */
public record ExpectedWork(double usualMillis, double outputTokens) {

	/** Value for a request of which nothing is known. */
	public static final ExpectedWork UNKNOWN = new ExpectedWork(0, 0);

}
