package io.sequoialink.standin;

import io.sequoialink.remote.EngineClient.EngineRequest;

/**
 * One run at an engine. Thread-safe; the tokens only grow.
 */
public final class EngineRun {

	private final String server;

	private final String request;

	private final int attempt;

	private final String version;

	private final String account;

	private final String requestClass;

	private final boolean meetsTarget;

	private final long startedAtMillis;

	private volatile int tokens;

	private volatile boolean whole;

	private volatile boolean cancelled;

	EngineRun(String server, EngineRequest request, boolean meetsTarget, long startedAtMillis) {
		this.server = server;
		this.request = request.request().value();
		this.attempt = request.attempt();
		this.version = request.version().value();
		this.account = (request.account() != null) ? request.account().value() : "";
		this.requestClass = (request.requestClass() != null) ? request.requestClass().value() : "";
		this.meetsTarget = meetsTarget;
		this.startedAtMillis = startedAtMillis;
	}

	/**
	 * Returns the engine.
	 * @return its identifier
	 */
	public String server() {
		return this.server;
	}

	/**
	 * Returns the request.
	 * @return its identifier
	 */
	public String request() {
		return this.request;
	}

	/**
	 * Returns the attempt.
	 * @return its number, from 0
	 */
	public int attempt() {
		return this.attempt;
	}

	/**
	 * Returns the version that ran.
	 * @return its identifier
	 */
	public String version() {
		return this.version;
	}

	/**
	 * Returns the client account.
	 * @return its identifier, or empty text if none was told
	 */
	public String account() {
		return this.account;
	}

	/**
	 * Returns the class of the request.
	 * @return its identifier, or empty text if none was told
	 */
	public String requestClass() {
		return this.requestClass;
	}

	/**
	 * Returns whether the drawn answer is good enough.
	 * @return the drawn outcome
	 */
	public boolean meetsTarget() {
		return this.meetsTarget;
	}

	/**
	 * Returns when the run entered the batch.
	 * @return epoch milliseconds
	 */
	public long startedAtMillis() {
		return this.startedAtMillis;
	}

	/**
	 * Returns the tokens sent so far.
	 * @return a count
	 */
	public int tokens() {
		return this.tokens;
	}

	/**
	 * Returns whether all tokens and the end marker were sent.
	 * @return {@code true} if the answer was whole
	 */
	public boolean whole() {
		return this.whole;
	}

	/**
	 * Returns whether the run was cancelled.
	 * @return {@code true} if a cancellation ended it
	 */
	public boolean cancelled() {
		return this.cancelled;
	}

	void sent() {
		this.tokens++;
	}

	void finish() {
		this.whole = true;
	}

	void cancel() {
		this.cancelled = true;
	}

}
