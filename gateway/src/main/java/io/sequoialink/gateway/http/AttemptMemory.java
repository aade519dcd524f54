package io.sequoialink.gateway.http;

import io.sequoialink.gateway.place.MemoryUse;
import io.sequoialink.gateway.place.SelectedServer;
import io.sequoialink.gateway.place.ServerState;

/**
 * Accounts for the tokens that one attempt is expected to hold in the memory of its
 * engine. Does nothing for an attempt without tokens, as in services without slowdown
 * reports. Confined to the event loop.
 */
final class AttemptMemory {

	private final MemoryUse use;

	private final ServerState server;

	private final double tokens;

	private final long startedAt;

	AttemptMemory(GatewayContext gateway, SelectedServer selected, long startedAt) {
		this.use = gateway.servers().memoryUse();
		this.server = selected.server();
		this.tokens = selected.heldTokens();
		this.startedAt = startedAt;
	}

	/** The attempt has been sent on its way. */
	void started() {
		if (this.tokens > 0) {
			this.server.memory().started(this.tokens);
			this.use.sent(this.server.entry().service(), this.tokens);
		}
	}

	/** The attempt has ended, for whatever reason. */
	void ended() {
		if (this.tokens > 0) {
			this.server.memory().ended(this.tokens, this.startedAt);
		}
	}

	/**
	 * The stream is complete.
	 * @param route name of the request's route
	 * @param events number of its events, each of which counts as one token
	 * @param millis time since the attempt began, in milliseconds
	 */
	void completed(String route, int events, double millis) {
		if (this.tokens > 0) {
			this.use.completed(this.server.entry().service(), route, events, millis);
		}
	}

}
