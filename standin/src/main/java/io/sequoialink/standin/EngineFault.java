package io.sequoialink.standin;

/**
 * Faults that can be injected into the answers of a simulated engine. Immutable and
 * thread-safe.
 */
public enum EngineFault {

	/** The run fails: the engine responds with status 500 instead of an answer. */
	FAIL,

	/** The connection is closed in the middle of the answer. */
	CUT,

	/** The response ends normally in the middle of the answer, without the end marker. */
	TRUNCATE,

	/** The stream also contains tokens with the identifier of another request. */
	FOREIGN,

	/** The stream also contains tokens of an earlier attempt of the request. */
	LATE,

	/** Every token is sent twice. */
	DUPLICATE,

	/** Adjacent tokens are sent in reverse order. */
	REORDER,

	/** The answer takes {@link StandinEngine#SLOW_FACTOR} times as long. */
	SLOW

}
