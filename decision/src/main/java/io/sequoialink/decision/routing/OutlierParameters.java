package io.sequoialink.decision.routing;

/**
 * Settings of {@link OutlierTable}. Immutable and thread-safe.
 *
 * @param consecutiveFailures failures in a row that eject a server, at least 1
 * @param baseMillis time of the first ejection, in milliseconds, at least 1; each further
 * one within {@code forgetMillis} lasts twice as long
 * @param maxMillis longest ejection, in milliseconds
 * @param forgetMillis time without failure after which earlier ejections are forgotten,
 * in milliseconds
 * @param maxShare share in [0, 1) of the servers that may be ejected at once
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
