package io.sequoialink.model;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Why a request gets no answer. Immutable and thread-safe. The effect is
 * {@link Effect#NONE} only if nothing was run.
 *
 * @param code a stable code for programs
 * @param reason one sentence for people
 * @param effect what the request did
 * @param retryAfter when to try again, where that helps
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
	 * @param code the code
	 * @param reason one sentence
	 * @return the refusal, without a time to retry
	 */
	public static Refusal notRun(RefusalCode code, String reason) {
		return new Refusal(code, reason, Effect.NONE, Optional.empty());
	}

	/**
	 * Returns a copy that tells the caller when to come back.
	 * @param delay time from now
	 * @return the changed copy
	 */
	public Refusal retryAfter(Duration delay) {
		return new Refusal(this.code, this.reason, this.effect, Optional.of(delay));
	}

}
