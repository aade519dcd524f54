package io.sequoialink.decision.limits;

/**
 * What one response of a backend server says of the number of requests that the server
 * takes from all hosts together. Immutable.
 *
 * @param state whether the response names a limit
 * @param perSecond the limit in requests per second, 0 or more; 0 unless one is named
 */
public record NamedLimit(State state, double perSecond) {

	/**
	 * A limit from which on it is treated as none, in requests per second. The whole
	 * fleet is expected to handle fewer requests than that.
	 */
	public static final double UNLIMITED_PER_SECOND = 10_000;

	/** The response names no limit. */
	public static final NamedLimit ABSENT = new NamedLimit(State.ABSENT, 0);

	/** The response names something that is not a number of 0 or more. */
	public static final NamedLimit UNREADABLE = new NamedLimit(State.UNREADABLE, 0);

	/**
	 * Returns the limit that a response names.
	 * @param perSecond requests per second, 0 or more
	 * @return the limit; {@link #ABSENT} if it is {@link #UNLIMITED_PER_SECOND} or more
	 */
	public static NamedLimit of(double perSecond) {
		return (perSecond < UNLIMITED_PER_SECOND) ? new NamedLimit(State.NAMED, perSecond) : ABSENT;
	}

	/**
	 * Whether a response names a limit.
	 */
	public enum State {

		/** It names none, so the server is not limited any more. */
		ABSENT,

		/** It names something unusable, which says neither. */
		UNREADABLE,

		/** It names one. */
		NAMED

	}

}
