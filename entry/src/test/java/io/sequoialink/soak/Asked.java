package io.sequoialink.soak;

import java.util.HashSet;
import java.util.Set;

/**
 * One client attempt and what is known of it. Guarded by the ledger that keeps it.
 */
final class Asked {

	final String id;

	final Kind kind;

	final String account;

	final String host;

	final String path;

	final long sentNanos;

	final Set<String> servers = new HashSet<>();

	int runs;

	int status;

	long leftNanos;

	Asked(String id, Kind kind, String account, String host, String path, long sentNanos) {
		this.id = id;
		this.kind = kind;
		this.account = account;
		this.host = host;
		this.path = path;
		this.sentNanos = sentNanos;
	}

	/** What may be repeated, and the service that runs it. */
	enum Kind {

		SAFE("app", true), ONCE("app", false), STREAM("models", true);

		final String service;

		final boolean repeatable;

		Kind(String service, boolean repeatable) {
			this.service = service;
			this.repeatable = repeatable;
		}

	}

}
