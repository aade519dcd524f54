package io.sequoialink.decision.rollout;

/**
 * Expected sample sizes of Wald's sequential probability ratio test if the alternative
 * hypothesis is true. Stateless and thread-safe.
 */
public final class ExpectedSamples {

	private ExpectedSamples() {
	}

	/**
	 * Returns the expected number of answers until the test stops a bad candidate by its
	 * failures.
	 * @param good failure share of the version in force, in (0, 1)
	 * @param bad failure share of the candidate, in (0, 1)
	 * @param alpha probability of stopping a good candidate
	 * @param beta probability of missing a bad candidate
	 * @return expected number of answers
	 */
	public static double failures(double good, double bad, double alpha, double beta) {
		double information = bad * Math.log(bad / good) + (1 - bad) * Math.log((1 - bad) / (1 - good));
		return boundary(alpha, beta) / information;
	}

	/**
	 * Returns the expected number of ratings until the test stops a candidate whose mean
	 * rating is lower, for normally distributed ratings.
	 * @param drop difference of the mean ratings, above 0
	 * @param deviation standard deviation of one rating
	 * @param alpha probability of stopping a good candidate
	 * @param beta probability of missing a bad candidate
	 * @return expected number of ratings
	 */
	public static double ratings(double drop, double deviation, double alpha, double beta) {
		double information = drop * drop / (2 * deviation * deviation);
		return boundary(alpha, beta) / information;
	}

	private static double boundary(double alpha, double beta) {
		return (1 - beta) * Math.log((1 - beta) / alpha) + beta * Math.log(beta / (1 - alpha));
	}

}
