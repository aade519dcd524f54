package io.sequoialink.decision.crash;

/**
 * Whether requests with a fingerprint may run.
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
