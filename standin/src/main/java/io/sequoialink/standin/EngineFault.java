package io.sequoialink.standin;

/**
 * What can go wrong with an engine's answer. Immutable and thread-safe.
 */
public enum EngineFault {

	/** The engine runs the request and answers with an error. */
	FAIL,

	/** The connection breaks in the middle of the answer. */
	CUT,

	/** The answer ends in the middle as if it were whole. */
	TRUNCATE,

	/** Tokens of another request stand in the answer. */
	FOREIGN,

	/** Tokens of an earlier attempt stand in the answer. */
	LATE,

	/** Each token comes twice. */
	DUPLICATE,

	/** Neighbouring tokens change places. */
	REORDER,

	/** The answer takes {@link StandinEngine#SLOW_FACTOR} times as long. */
	SLOW

}
