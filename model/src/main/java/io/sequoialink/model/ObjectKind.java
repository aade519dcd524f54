package io.sequoialink.model;

/**
 * The kinds of objects in the configuration stream. Immutable and thread-safe.
 */
public enum ObjectKind {

	/** A {@link ClientAccount}. */
	ACCOUNT,

	/** A {@link ModelVersion}. */
	VERSION,

	/** A {@link RequestClass}. */
	CLASS,

	/** A {@link Cascade}. */
	CASCADE,

	/** A {@link Rollout}. */
	ROLLOUT,

	/** A {@link PlainService}. */
	SERVICE

}
