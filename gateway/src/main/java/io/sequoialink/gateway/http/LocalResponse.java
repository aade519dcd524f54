package io.sequoialink.gateway.http;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.sequoialink.decision.crash.CrashReports;
import io.sequoialink.gateway.codec.MalformedMessageException;

/**
 * A response that this host generates itself instead of a backend server. Immutable.
 *
 * @param status status code
 * @param reason short text that is sent to the client as the body; also the value of a
 * metric label
 * @param retryAfterMillis when the client may retry, in milliseconds
 */
record LocalResponse(int status, String reason, OptionalLong retryAfterMillis) {

	/**
	 * Default retry delay after a rejection, in milliseconds; by then the host has learnt
	 * of a server that shut down or failed.
	 */
	static final long DEFAULT_RETRY_MILLIS = 300;

	/**
	 * Retry delay for a request that comes when the host is about to stop, in
	 * milliseconds: other hosts can run it at once.
	 */
	static final long STOPPING_RETRY_MILLIS = 50;

	/**
	 * Retry delay for a request whose fingerprint is blocked, in milliseconds. It is
	 * long, because the request would be rejected again.
	 */
	static final long BLOCKED_RETRY_MILLIS = 60_000;

	/**
	 * Retry delay for a request whose fingerprint is suspected of crashing servers, in
	 * milliseconds. By then all hosts have reported the other requests that were lost in
	 * the same crashes.
	 */
	static final long SUSPECT_RETRY_MILLIS = TimeUnit.NANOSECONDS.toMillis(CrashReports.REPORT_DELAY_NANOS);

	/**
	 * Retry delay for a request whose traits another request is being tried for, in
	 * milliseconds. By then the trial has mostly ended.
	 */
	static final long TRIAL_RETRY_MILLIS = 1000;

	/**
	 * Time over which the retries of clients that were rejected together are spread, in
	 * milliseconds.
	 */
	private static final long JITTER_MILLIS = 1000;

	/**
	 * Adds random jitter to a retry delay that many clients share.
	 * @param millis time until requests are accepted again, in milliseconds
	 * @param draw random number from 0 to 1
	 * @return retry delay in milliseconds
	 */
	static long withJitter(long millis, double draw) {
		return Math.max(DEFAULT_RETRY_MILLIS, millis) + (long) (draw * JITTER_MILLIS);
	}

	static LocalResponse of(int status, String reason) {
		return new LocalResponse(status, reason, OptionalLong.empty());
	}

	/**
	 * Returns the response to what can't be read as a request.
	 * @param cause what is wrong with it
	 * @return a rejection that says what is too long or not supported
	 */
	static LocalResponse ofMalformed(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			return of(431, "header too large");
		}
		if (cause instanceof MalformedMessageException malformed) {
			return ofMalformed(malformed.reason());
		}
		return of(400, "not readable as a request");
	}

	private static LocalResponse ofMalformed(MalformedMessageException.Reason reason) {
		return switch (reason) {
			case VERSION -> of(505, "version not supported");
			case CODING -> of(501, "transfer coding not supported");
			default -> of(400, "not readable as a request");
		};
	}

	static LocalResponse notRun(String reason, long retryAfterMillis) {
		return new LocalResponse(503, reason, OptionalLong.of(retryAfterMillis));
	}

	Optional<String> retryAfterSeconds() {
		return this.retryAfterMillis.isPresent()
				? Optional.of(String.valueOf(this.retryAfterMillis.getAsLong() / 1000.0)) : Optional.empty();
	}

}
