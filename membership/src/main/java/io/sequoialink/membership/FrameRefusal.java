package io.sequoialink.membership;

/**
 * Why a message of the peer port was refused. Immutable and thread-safe.
 */
public enum FrameRefusal {

	/** It is longer than a payload of the largest size needs. */
	OVERSIZE,

	/** It can't be parsed, or a value in it is out of range. */
	MALFORMED,

	/** It has another protocol version. */
	VERSION,

	/** It names a key that is not in the settings. */
	UNKNOWN_KEY,

	/** Its authentication code is wrong. */
	BAD_CODE,

	/** It is a repetition, or out of order. */
	REPLAYED,

	/** It is meant for another host, or for an earlier process of this one. */
	MISADDRESSED,

	/** A newer process has taken its sender's place. */
	STALE_SENDER,

	/** Its sender is not a member. */
	UNKNOWN_SENDER

}
