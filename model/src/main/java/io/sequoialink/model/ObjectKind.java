package io.sequoialink.model;

/**
 * Kind of a configuration object; part of its {@link ObjectKey}. Immutable and
 * thread-safe.
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
