package io.sequoialink.decision.routing;

/**
 * Settings of {@link OutlierDetector}. Immutable and thread-safe.
 *
 * @param consecutiveFailures number of consecutive failures after which a server is
 * ejected, at least 1
 * @param baseMillis duration of the first ejection, in milliseconds, at least 1; the
 * duration doubles with each further ejection
 * @param maxMillis maximum duration of an ejection, in milliseconds, at least
 * {@code baseMillis}
 * @param forgetMillis time without a failure, in milliseconds, after which the duration
 * starts at {@code baseMillis} again
 * @param maxShare maximum share of the servers that are ejected at the same time, in [0,
 * 1)
 */
public record OutlierParameters(int consecutiveFailures, long baseMillis, long maxMillis, long forgetMillis,
		double maxShare) {

	/** The default settings. */
	public static final OutlierParameters DEFAULT = new OutlierParameters(5, 5_000, 60_000, 120_000, 0.3);

	public OutlierParameters {
		if (consecutiveFailures < 1) {
			throw new IllegalArgumentException(
					"outliers.consecutiveFailures is " + consecutiveFailures + ": use at least 1");
		}
		if (baseMillis < 1 || maxMillis < baseMillis) {
			throw new IllegalArgumentException("outliers.baseMillis is " + baseMillis + " and outliers.maxMillis is "
					+ maxMillis + ": use at least 1 ms, and no less for the longest");
		}
		if (!(maxShare >= 0 && maxShare < 1)) {
			throw new IllegalArgumentException("outliers.maxShare is " + maxShare + ": use 0 up to below 1");
		}
	}

}
