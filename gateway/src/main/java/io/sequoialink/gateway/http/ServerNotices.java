package io.sequoialink.gateway.http;

import java.util.OptionalLong;

import io.sequoialink.gateway.place.ResponseNotice;
import io.sequoialink.gateway.place.ServerNoticeTable;
import io.sequoialink.gateway.place.ServerState;

/**
 * Passes on what a server says of itself in the responses to one attempt: that it shuts
 * down, asks for a back-off, names a limit, is cold, or reports its load. Confined to the
 * event loop.
 */
final class ServerNotices {

	/** Monotonic time of a request that is not known, before all others. */
	static final long UNKNOWN_TIME = Long.MIN_VALUE / 2;

	private static final int MISDIRECTED = 421;

	private static final int UNAVAILABLE = 503;

	private final GatewayContext gateway;

	private final ServerState server;

	private final String requestId;

	ServerNotices(GatewayContext gateway, ServerState server, String requestId) {
		this.gateway = gateway;
		this.server = server;
		this.requestId = requestId;
	}

	/** Records that a request is sent to the server. */
	void sent() {
		table().sent(this.server.entry());
	}

	/**
	 * Records the notices of a response. Status 421 (misdirected request) comes from a
	 * different server than the one addressed, so its notices do not count.
	 * @param status status code
	 * @param metadata metadata of the response
	 * @param sentNanos monotonic time at which its request was sent,
	 * {@link #UNKNOWN_TIME} if that is not known
	 */
	void record(int status, ResponseMetadata metadata, long sentNanos) {
		if (status == MISDIRECTED) {
			return;
		}
		metadata.coldMillis()
			.ifPresent((millis) -> this.gateway.servers()
				.cold()
				.received(this.server, millis, this.requestId, sentNanos, this.gateway.clock().getAsLong()));
		boolean backoffRequested = status == UNAVAILABLE;
		table().received(this.server.entry(), new ResponseNotice(metadata.notice().shuttingDown(),
				backoffRequested ? metadata.notice().backoffMillis() : OptionalLong.empty()));
		if (!backoffRequested) {
			table().responseStarted(this.server.entry());
		}
		if (backoffRequested && metadata.notExecuted() && metadata.notice().backoffMillis().isEmpty()) {
			this.gateway.permits().turnedAway(this.server.incarnation());
			this.gateway.admission().rejected(this.server);
		}
		if (metadata.signed() || metadata.notExecuted()) {
			this.gateway.permits().heard(this.server.entry(), metadata.bearableRejections(), sentNanos);
			this.gateway.servers()
				.limits()
				.received(this.server, metadata.limit(), this.requestId, sentNanos, this.gateway.clock().getAsLong());
		}
	}

	/**
	 * Records the load report of a response, unless it comes from a different server than
	 * the one addressed (status 421). Counts a malformed report. The report in a
	 * rejection does not count as one of free capacity.
	 * @param status status code
	 * @param metadata metadata of the response
	 * @param targetMillis target latency of the request in milliseconds; 0 if it has none
	 * @param nowNanos monotonic time at which the head of the response arrived, in
	 * nanoseconds
	 */
	void recordLoad(int status, ResponseMetadata metadata, long targetMillis, long nowNanos) {
		if (metadata.loadIgnored()) {
			this.gateway.metrics().ignoredLoadReports().increment(this.server.entry().service());
		}
		if (status != MISDIRECTED) {
			metadata.load().ifPresent((load) -> {
				this.gateway.servers()
					.loadReported(this.server, load.running(), load.waiting(), load.slowdownPercent(), nowNanos);
				if (!metadata.notExecuted()) {
					this.gateway.admission()
						.reported(this.server, load.running(), load.waiting(), load.slots(), targetMillis);
				}
			});
		}
	}

	private ServerNoticeTable table() {
		return this.gateway.servers().notices();
	}

}
