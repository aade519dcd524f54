package io.sequoialink.gateway.http;

import java.util.OptionalDouble;

/**
 * How long a server may stay silent before its answer is no longer waited for. Stateless.
 *
 * <p>
 * Answers that are only slow are waited for: the time is several times the usual, and a
 * server counts as silent only if nothing at all was heard of it meanwhile.
 */
final class Patience {

	private static final double USUAL_TIMES = 5;

	private static final double MIN_PLAIN_MILLIS = 150;

	private static final double UNKNOWN_PLAIN_MILLIS = 400;

	private static final double MIN_STREAM_MILLIS = 1200;

	/**
	 * Part of the time that is left which may be waited, so that another send has the
	 * rest.
	 */
	private static final double LARGEST_PART = 0.4;

	private Patience() {
	}

	/**
	 * Returns the time for a plain service.
	 * @param usual usual time of its answers in milliseconds, if it is known
	 * @param remainingMillis time that is left for the request
	 * @return the time in milliseconds
	 */
	static long plain(OptionalDouble usual, long remainingMillis) {
		double wanted = usual.isPresent() ? Math.max(MIN_PLAIN_MILLIS, USUAL_TIMES * usual.getAsDouble())
				: UNKNOWN_PLAIN_MILLIS;
		return (long) Math.min(wanted, LARGEST_PART * remainingMillis);
	}

	/**
	 * Returns the time for the beginning of a stream.
	 * @param expectedMillis time after which it is expected
	 * @param remainingMillis time that is left for the request
	 * @return the time in milliseconds
	 */
	static long stream(double expectedMillis, long remainingMillis) {
		double wanted = Math.max(MIN_STREAM_MILLIS, USUAL_TIMES * expectedMillis);
		return (long) Math.min(wanted, LARGEST_PART * remainingMillis);
	}

}
