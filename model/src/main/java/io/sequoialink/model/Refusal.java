package io.sequoialink.model;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Error response to a request that could not be answered. Immutable and thread-safe. The
 * effect is {@link Effect#NONE} only if the request was certainly not run on any backend
 * server.
 *
 * @param code error code, stable across releases, for programs
 * @param reason one sentence that explains the error to people
 * @param effect whether the request was run
 * @param retryAfter delay after which a retry may succeed, empty if it is unknown or a
 * retry does not help
 */
public record Refusal(RefusalCode code, String reason, Effect effect, Optional<Duration> retryAfter) {

	public Refusal {
		Objects.requireNonNull(code, "code");
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(effect, "effect");
		Objects.requireNonNull(retryAfter, "retryAfter");
	}

	/**
	 * Returns a refusal of a request that was not run.
	 * @param code the error code
	 * @param reason one sentence that explains the error to people
	 * @return the refusal, without a time to retry
	 */
	public static Refusal notRun(RefusalCode code, String reason) {
		return new Refusal(code, reason, Effect.NONE, Optional.empty());
	}

	/**
	 * Returns a copy with a delay after which the caller may retry.
	 * @param delay time from now until the retry
	 * @return the changed copy
	 */
	public Refusal retryAfter(Duration delay) {
		return new Refusal(this.code, this.reason, this.effect, Optional.of(delay));
	}

}
