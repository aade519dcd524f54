package io.sequoialink.remote;

import java.util.Objects;

import io.sequoialink.model.Effect;

/**
 * A backend server did not give a whole answer. Immutable. The effect is
 * {@link Effect#NONE} only if the server is known to have run nothing.
 */
public class BackendException extends PlatformException {

	private final Kind kind;

	private final Effect effect;

	public BackendException(Kind kind, Effect effect, String message) {
		this(kind, effect, message, null);
	}

	public BackendException(Kind kind, Effect effect, String message, Throwable cause) {
		super(message, cause);
		this.kind = Objects.requireNonNull(kind, "kind");
		this.effect = Objects.requireNonNull(effect, "effect");
	}

	/**
	 * Returns how the call failed.
	 * @return the kind
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * Returns what the call did at the server.
	 * @return the effect
	 */
	public Effect effect() {
		return this.effect;
	}

	/** How a call to a backend server failed. */
	public enum Kind {

		/** No connection: nothing was sent. */
		UNREACHABLE,

		/** The server refused the call and ran nothing. */
		REJECTED,

		/** The server answered with an error after it may have begun. */
		FAILED,

		/** The connection broke before the answer was whole. */
		CUT_OFF,

		/** The time ran out. */
		TIMEOUT,

		/** The answer was malformed, truncated or another request's. */
		INVALID,

		/** The caller went away. */
		CANCELLED

	}

}
