package io.sequoialink.router;

import java.util.Objects;

import io.sequoialink.model.Refusal;

/**
 * Thrown when a request is rejected. Immutable.
 */
public class RefusedException extends Exception {

	private final transient Refusal refusal;

	public RefusedException(Refusal refusal) {
		super(refusal.code() + ": " + refusal.reason());
		this.refusal = Objects.requireNonNull(refusal, "refusal");
	}

	/**
	 * Returns the rejection that is sent to the caller.
	 * @return the rejection with code, reason and effect
	 */
	public Refusal refusal() {
		return this.refusal;
	}

}
