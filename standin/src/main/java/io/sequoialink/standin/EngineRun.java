package io.sequoialink.standin;

import io.sequoialink.remote.EngineClient.EngineRequest;

/**
 * One execution of a request attempt on a simulated engine, from the moment at which it
 * joins the batch (the requests that the engine runs at once). Thread-safe; the number of
 * sent tokens never falls.
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

	private volatile int sentTokens;

	private volatile boolean completed;

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
	 * Returns the engine that runs the attempt.
	 * @return the server identifier of the engine
	 */
	public String server() {
		return this.server;
	}

	/**
	 * Returns the request that the attempt belongs to.
	 * @return the request identifier
	 */
	public String request() {
		return this.request;
	}

	/**
	 * Returns the number of the attempt within its request.
	 * @return the attempt number, from 0
	 */
	public int attempt() {
		return this.attempt;
	}

	/**
	 * Returns the model version that runs.
	 * @return the version identifier
	 */
	public String version() {
		return this.version;
	}

	/**
	 * Returns the client account of the request.
	 * @return the account identifier, or an empty string if the request named none
	 */
	public String account() {
		return this.account;
	}

	/**
	 * Returns the class of the request.
	 * @return the class identifier, or an empty string if the request named none
	 */
	public String requestClass() {
		return this.requestClass;
	}

	/**
	 * Returns whether the simulated answer meets the quality target.
	 * @return {@code true} if it meets the target, also if the run does not complete
	 */
	public boolean meetsTarget() {
		return this.meetsTarget;
	}

	/**
	 * Returns when the run entered the batch, after its time in the queue.
	 * @return the time in epoch milliseconds
	 */
	public long startedAtMillis() {
		return this.startedAtMillis;
	}

	/**
	 * Returns how many tokens were sent so far.
	 * @return the number of token events, with those that injected faults added
	 */
	public int sentTokens() {
		return this.sentTokens;
	}

	/**
	 * Returns whether all tokens and the end marker were sent.
	 * @return {@code true} if the answer is complete
	 */
	public boolean completed() {
		return this.completed;
	}

	/**
	 * Returns whether a caller cancelled the run.
	 * @return {@code true} once a cancellation was received; the stream ends at its next
	 * token
	 */
	public boolean cancelled() {
		return this.cancelled;
	}

	void recordToken() {
		this.sentTokens++;
	}

	void markCompleted() {
		this.completed = true;
	}

	void markCancelled() {
		this.cancelled = true;
	}

}
