package io.sequoialink.gateway.http;

import java.util.OptionalDouble;

/**
 * Computes how long a server may send nothing before an attempt is abandoned. Stateless.
 *
 * <p>
 * Responses that are merely slow are awaited: the timeout is several times the usual
 * latency, and a server counts as silent only if it sent nothing at all meanwhile, on any
 * connection.
 */
final class SilenceTimeout {

	private static final double USUAL_LATENCY_FACTOR = 5;

	private static final double MIN_PLAIN_MILLIS = 150;

	private static final double UNKNOWN_PLAIN_MILLIS = 400;

	private static final double MIN_STREAM_MILLIS = 1200;

	/**
	 * Maximum share of the time until the deadline; the rest is left for another attempt.
	 */
	private static final double MAX_DEADLINE_SHARE = 0.4;

	private SilenceTimeout() {
	}

	/**
	 * Returns the timeout for a service without streaming.
	 * @param usual usual latency of its responses in milliseconds, if known
	 * @param remainingMillis time until the deadline, in milliseconds
	 * @return the timeout in milliseconds
	 */
	static long forPlainResponse(OptionalDouble usual, long remainingMillis) {
		double timeout = usual.isPresent() ? Math.max(MIN_PLAIN_MILLIS, USUAL_LATENCY_FACTOR * usual.getAsDouble())
				: UNKNOWN_PLAIN_MILLIS;
		return (long) Math.min(timeout, MAX_DEADLINE_SHARE * remainingMillis);
	}

	/**
	 * Returns the timeout for the head of a stream.
	 * @param expectedMillis expected time to the head, in milliseconds
	 * @param remainingMillis time until the deadline, in milliseconds
	 * @return the timeout in milliseconds
	 */
	static long forStream(double expectedMillis, long remainingMillis) {
		double timeout = Math.max(MIN_STREAM_MILLIS, USUAL_LATENCY_FACTOR * expectedMillis);
		return (long) Math.min(timeout, MAX_DEADLINE_SHARE * remainingMillis);
	}

}
