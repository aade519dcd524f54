package io.sequoialink.gateway.http;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.place.PromptSize;
import io.sequoialink.gateway.place.ServerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches one attempt for a server that is silent and for a response that is slow.
 * Confined to the event loop.
 *
 * <p>
 * Invariant: slowness counts only if the server is heard of after it began. Otherwise the
 * server may be down or this host cut off from it, which says nothing about its version;
 * what the server sent before does not show that it can still be heard.
 */
final class AttemptWatch {

	private static final Logger logger = LoggerFactory.getLogger(BackendAttempt.class);

	private static final double NANOS_PER_MILLI = 1_000_000.0;

	private final Exchange exchange;

	private final ServerState server;

	private final LatencyCheck latency;

	private final Watched attempt;

	private final long startedAt;

	private long headAt;

	/**
	 * Creates a watch that has not begun.
	 * @param exchange the request
	 * @param server server of the attempt
	 * @param latency compares the attempt with the usual durations
	 * @param startedAt monotonic time at which the attempt began, in nanoseconds
	 * @param attempt the attempt
	 */
	AttemptWatch(Exchange exchange, ServerState server, LatencyCheck latency, long startedAt, Watched attempt) {
		this.exchange = exchange;
		this.server = server;
		this.latency = latency;
		this.startedAt = startedAt;
		this.attempt = attempt;
	}

	/**
	 * The attempt has been sent on its way.
	 * @param expectedMillis expected time to the head of a stream, in milliseconds
	 * @param work size of the request's prompt
	 */
	void attemptStarted(double expectedMillis, PromptSize work) {
		this.exchange.schedule(this::checkSilence, silenceTimeout(expectedMillis, work));
		this.latency.slowHeadMillis().ifPresent((millis) -> this.exchange.schedule(this::checkHeadDelay, millis));
	}

	private long silenceTimeout(double expectedMillis, PromptSize work) {
		long remaining = this.exchange.remainingMillis();
		if (this.exchange.streaming()) {
			return SilenceTimeout.forStream(expectedMillis, remaining);
		}
		return SilenceTimeout.forPlainResponse(this.exchange.gateway()
			.latencyBaseline()
			.typicalMillis(this.exchange.latencies().baselineKeys(work).duration()), remaining);
	}

	// Marks the server as failing if it has sent nothing at all since this attempt
	// began, on any connection.
	private void checkSilence() {
		if (!this.attempt.awaitsResponse() || this.server.receivedSince(this.startedAt)) {
			return;
		}
		this.server.unresponsive(this.exchange.now());
		logger.info(GatewayEvents.SERVER_AVOIDED, this.server.entry().id(), "no response");
		this.attempt.serverSilent();
	}

	private void checkHeadDelay() {
		if (this.attempt.awaitsResponse()) {
			long dueAfter = (long) (this.latency.usualHeadMillis() * NANOS_PER_MILLI);
			this.server.whenReceivedSince(this.startedAt + dueAfter, this.exchange.now(), this.latency::markSlow);
		}
	}

	/**
	 * The head of a stream has arrived.
	 * @param nanos monotonic time, in nanoseconds
	 */
	void streamBegan(long nanos) {
		this.headAt = nanos;
		this.exchange.schedule(this::checkEventRate, LatencyCheck.FIRST_CHECK_MILLIS);
	}

	private void checkEventRate() {
		if (this.attempt.ended() || this.latency.reported()) {
			return;
		}
		long now = this.exchange.now();
		if (this.latency.tooFewEvents((now - this.headAt) / NANOS_PER_MILLI)) {
			this.server.whenReceivedSince(now, now, this.latency::markSlow);
		}
		this.exchange.schedule(this::checkEventRate, LatencyCheck.CHECK_INTERVAL_MILLIS);
	}

	/** The attempt that is watched. */
	interface Watched {

		/**
		 * Returns whether no part of a response has arrived.
		 * @return false also if the attempt has ended
		 */
		boolean awaitsResponse();

		/**
		 * Returns whether the attempt has ended.
		 * @return whether it needs no watch any more
		 */
		boolean ended();

		/**
		 * The server has sent nothing on any connection since the attempt began, for
		 * longer than is usual.
		 */
		void serverSilent();

	}

}
