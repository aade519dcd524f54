package io.sequoialink.gateway.http;

import java.util.concurrent.TimeUnit;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.place.ServerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Log lines and counters of the end of one attempt. Confined to the event loop.
 */
final class AttemptLog {

	private static final Logger logger = LoggerFactory.getLogger(BackendAttempt.class);

	private final Exchange exchange;

	private final ServerState server;

	private final long startedAt;

	AttemptLog(Exchange exchange, ServerState server, long startedAt) {
		this.exchange = exchange;
		this.server = server;
		this.startedAt = startedAt;
	}

	private String serverId() {
		return this.server.entry().id();
	}

	/**
	 * Counts an attempt.
	 * @param outcome how it ended
	 */
	void count(String outcome) {
		this.exchange.gateway()
			.metrics()
			.attempts()
			.increment(this.exchange.service(), this.server.entry().version(), outcome);
	}

	/**
	 * Counts and logs the end of an attempt that brought no successful response.
	 * @param outcome how it ended
	 * @param detail why
	 * @param origin where the request was written, empty if it was not
	 */
	void failedEnd(String outcome, String detail, String origin) {
		count(outcome);
		end(detail, origin);
	}

	/**
	 * Logs the end of an attempt.
	 * @param detail why it ended
	 * @param origin where the request was written, empty if it was not
	 */
	void end(String detail, String origin) {
		logger.info(GatewayEvents.ATTEMPT_ENDED, this.exchange.id(), this.exchange.attempts(), serverId(),
				origin.isEmpty() ? detail : detail + " [" + origin + "]",
				TimeUnit.NANOSECONDS.toMillis(this.exchange.now() - this.startedAt));
	}

	/**
	 * Logs that the server closed the connection before its response was complete.
	 * @param events number of events received
	 * @param sinceHead milliseconds since the head of the response, "no" without one
	 */
	void lostResponse(int events, String sinceHead) {
		logger.info(GatewayEvents.RESPONSE_LOST, this.exchange.id(), serverId(), events, sinceHead,
				this.exchange.promptParts());
	}

	/**
	 * Counts a failure against the server, and logs if it is avoided from now on.
	 * @param reason what failed
	 */
	void failure(String reason) {
		if (this.server.failed(this.exchange.now())) {
			logger.info(GatewayEvents.SERVER_AVOIDED, serverId(), reason);
		}
	}

}
