package io.sequoialink.soak;

import java.util.HashSet;
import java.util.Set;

/**
 * One request as a client sent it, and what was observed of it since. A client's retry is
 * a request of its own. Guarded by the {@link PromiseChecker} that holds it.
 */
final class TrackedRequest {

	final String id;

	final Kind kind;

	final String account;

	final String host;

	final String path;

	final long sentNanos;

	/** Names of the servers that executed the request. */
	final Set<String> servers = new HashSet<>();

	/** Part of its prompt that crashes servers, empty if there is none. */
	String crashingPart = "";

	/** Whether it is a client's first try rather than a retry. */
	boolean firstTry;

	/** Whether a server broke off its response. */
	boolean brokenOff;

	int executions;

	/** Status that the client received, 0 if it has received none. */
	int status;

	/** Monotonic time at which the client disconnected, 0 if it has not. */
	long disconnectedNanos;

	TrackedRequest(String id, Kind kind, String account, String host, String path, long sentNanos) {
		this.id = id;
		this.kind = kind;
		this.account = account;
		this.host = host;
		this.path = path;
		this.sentNanos = sentNanos;
	}

	/**
	 * Kind of a request: its service and whether hosts may retry it. The lower-case name
	 * is the first segment of the path.
	 */
	enum Kind {

		SAFE("app", true), ONCE("app", false), STREAM("models", true), SMALL("small", true),

		PAIR(SecondAnswers.SERVICE, true);

		final String service;

		final boolean retryable;

		Kind(String service, boolean repeatable) {
			this.service = service;
			this.retryable = repeatable;
		}

	}

}
