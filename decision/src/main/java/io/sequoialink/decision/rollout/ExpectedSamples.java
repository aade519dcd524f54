package io.sequoialink.decision.rollout;

/**
 * Expected sample sizes of Wald's sequential probability ratio test under the
 * alternative. Stateless and thread-safe.
 */
public final class ExpectedSamples {

	private ExpectedSamples() {
	}

	/**
	 * Returns the expected answers until the test stops a version by its failures.
	 * @param good failure share of the version in force, in (0, 1)
	 * @param bad failure share of the candidate, in (0, 1)
	 * @param alpha chance of a false stop
	 * @param beta chance of a miss
	 * @return expected answers
	 */
	public static double failures(double good, double bad, double alpha, double beta) {
		double information = bad * Math.log(bad / good) + (1 - bad) * Math.log((1 - bad) / (1 - good));
		return boundary(alpha, beta) / information;
	}

	/**
	 * Returns the expected ratings until the test stops a version by a drop of its mean
	 * rating, for normally distributed ratings.
	 * @param drop drop of the mean rating, above 0
	 * @param deviation standard deviation of one rating
	 * @param alpha chance of a false stop
	 * @param beta chance of a miss
	 * @return expected ratings
	 */
	public static double ratings(double drop, double deviation, double alpha, double beta) {
		double information = drop * drop / (2 * deviation * deviation);
		return boundary(alpha, beta) / information;
	}

	private static double boundary(double alpha, double beta) {
		return (1 - beta) * Math.log((1 - beta) / alpha) + beta * Math.log(beta / (1 - alpha));
	}

}
