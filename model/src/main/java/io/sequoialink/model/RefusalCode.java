package io.sequoialink.model;

import java.util.Locale;

/**
 * Error codes of a {@link Refusal}, each with the HTTP status sent to the client. The
 * codes are part of the API and do not change. Immutable and thread-safe.
 */
public enum RefusalCode {

	/** The request is malformed. */
	BAD_REQUEST(400),

	/** The account's API key is missing or unknown. */
	UNAUTHENTICATED(401),

	/** The account may not use what it asks for. */
	FORBIDDEN(403),

	/** The path, class or service does not exist. */
	NOT_FOUND(404),

	/** The request body exceeds the size limit. */
	TOO_LARGE(413),

	/** The content type is not supported. */
	UNSUPPORTED_MEDIA_TYPE(415),

	/** The session token is forged, expired or belongs to another account. */
	SESSION_REFUSED(403),

	/**
	 * The model version of the session was withdrawn; the client must open a new session.
	 */
	SESSION_VERSION_WITHDRAWN(409),

	/** The account is allowed none of the model versions on offer. */
	NO_ALLOWED_VERSION(409),

	/** The deadline has already passed or cannot be met. */
	DEADLINE_IMPOSSIBLE(422),

	/** A limit of the client account is exceeded. */
	LIMIT_REACHED(429),

	/**
	 * The host or the backend servers have no capacity left for a request of this
	 * priority.
	 */
	OVERLOADED(503),

	/** The host is shutting down. */
	DRAINING(503),

	/** The host cannot confirm that its configuration is up to date. */
	CONFIGURATION_STALE(503),

	/** A record that the request requires cannot be written to the platform's log. */
	LOG_UNAVAILABLE(503),

	/** Another request with the same idempotency key is in progress. */
	DUPLICATE_IN_PROGRESS(409),

	/** The request, which must run at most once, may have been run and is not retried. */
	OUTCOME_UNKNOWN(502),

	/** Requests with this content are blocked because they crashed backend servers. */
	REQUEST_BRAKED(422),

	/** No backend server returned a complete answer. */
	BACKEND_FAILED(502),

	/** The deadline passed before a complete answer arrived. */
	DEADLINE_EXCEEDED(504),

	/** The router failed internally; its log contains the cause. */
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
	 * Returns the code as written in JSON.
	 * @return the name in lower case
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
