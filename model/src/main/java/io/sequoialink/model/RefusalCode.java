package io.sequoialink.model;

import java.util.Locale;

/**
 * The stable codes of refusals, with the HTTP status that callers see. Immutable and
 * thread-safe.
 */
public enum RefusalCode {

	/** The request is malformed. */
	BAD_REQUEST(400),

	/** The account key is missing or unknown. */
	UNAUTHENTICATED(401),

	/** The account may not use what it asks for. */
	FORBIDDEN(403),

	/** The path, class or service does not exist. */
	NOT_FOUND(404),

	/** The body is larger than accepted. */
	TOO_LARGE(413),

	/** The content type is not accepted. */
	UNSUPPORTED_MEDIA_TYPE(415),

	/** The session token is forged, foreign or expired. */
	SESSION_REFUSED(403),

	/** The version of the session was withdrawn; a new session is needed. */
	SESSION_VERSION_WITHDRAWN(409),

	/** No version that is offered is allowed to the account. */
	NO_ALLOWED_VERSION(409),

	/** The deadline has passed or can't be met. */
	DEADLINE_IMPOSSIBLE(422),

	/** A limit of the account is used up. */
	LIMIT_REACHED(429),

	/** The pool has no capacity for this priority. */
	OVERLOADED(503),

	/** The host is shutting down. */
	DRAINING(503),

	/** The host can't confirm that its configuration is current. */
	CONFIGURATION_STALE(503),

	/** The platform log can't record what the request needs. */
	LOG_UNAVAILABLE(503),

	/** Another request with this idempotency key is under way. */
	DUPLICATE_IN_PROGRESS(409),

	/** The work may have been run and is not repeated. */
	OUTCOME_UNKNOWN(502),

	/** Requests with this content crashed backend servers. */
	REQUEST_BRAKED(422),

	/** No backend server gave a whole answer. */
	BACKEND_FAILED(502),

	/** The deadline passed before a whole answer arrived. */
	DEADLINE_EXCEEDED(504),

	/** The router failed; the log holds the cause. */
	INTERNAL(500);

	private final int status;

	RefusalCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the HTTP status of the refusal.
	 * @return a status from 400 to 599
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the code as it stands in JSON.
	 * @return the name in lower case
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
