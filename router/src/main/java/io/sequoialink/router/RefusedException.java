package io.sequoialink.router;

import java.util.Objects;

import io.sequoialink.model.Refusal;

/**
 * Thrown when a request is refused. Immutable.
 */
public class RefusedException extends Exception {

	private final transient Refusal refusal;

	public RefusedException(Refusal refusal) {
		super(refusal.code() + ": " + refusal.reason());
		this.refusal = Objects.requireNonNull(refusal, "refusal");
	}

	/**
	 * Returns the refusal that is sent to the caller.
	 * @return the refusal with code, reason and effect
	 */
	public Refusal refusal() {
		return this.refusal;
	}

}
