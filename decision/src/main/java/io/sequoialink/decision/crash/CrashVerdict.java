package io.sequoialink.decision.crash;

/**
 * Whether requests with a fingerprint may run, depending on the server crashes attributed
 * to it. Immutable.
 */
public enum CrashVerdict {

	/** Requests may run. */
	FREE,

	/**
	 * Requests do not run for now: other hosts may still report that another fingerprint
	 * caused the crashes.
	 */
	HELD,

	/** Requests no longer run. */
	BLOCKED

}
