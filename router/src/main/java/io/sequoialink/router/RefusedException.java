package io.sequoialink.router;

import java.util.Objects;

import io.sequoialink.model.Refusal;

/**
 * Ends the handling of a request with a refusal. Immutable.
 */
public class RefusedException extends Exception {

	private final transient Refusal refusal;

	public RefusedException(Refusal refusal) {
		super(refusal.code() + ": " + refusal.reason());
		this.refusal = Objects.requireNonNull(refusal, "refusal");
	}

	/**
	 * Returns the refusal.
	 * @return what the caller is told
	 */
	public Refusal refusal() {
		return this.refusal;
	}

}
