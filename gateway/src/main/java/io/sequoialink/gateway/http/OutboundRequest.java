package io.sequoialink.gateway.http;

import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request on its way to one backend server. Confined to the event loop. The listener is
 * notified at most once of the end, and not at all after {@link #cancel()}.
 */
final class OutboundRequest {

	private final String requestId;

	private final FullHttpRequest request;

	private final ResponseListener listener;

	private Channel channel;

	private Optional<ConnectionUse> carrier = Optional.empty();

	private boolean handedOver;

	private String failureDetail = "";

	private boolean done;

	OutboundRequest(String requestId, FullHttpRequest request, ResponseListener listener) {
		this.requestId = requestId;
		this.request = request;
		this.listener = listener;
	}

	String requestId() {
		return this.requestId;
	}

	/**
	 * Returns whether the response has no body, whatever its head says.
	 * @return whether it is a HEAD request
	 */
	boolean head() {
		return HttpMethod.HEAD.equals(this.request.method());
	}

	ResponseListener listener() {
		return this.listener;
	}

	boolean handedOver() {
		return this.handedOver;
	}

	/**
	 * Returns where the request was written.
	 * @return the connection and the number of the request on it, empty before
	 */
	Optional<ConnectionUse> carrier() {
		return this.carrier;
	}

	boolean done() {
		return this.done;
	}

	void connecting(Channel connecting) {
		this.channel = connecting;
	}

	/**
	 * Transfers the request to a connection.
	 * @param to channel of the connection
	 * @param use the connection and the number of the request on it, for the log
	 * @return the request to write; ownership passes to the channel
	 */
	FullHttpRequest handOver(Channel to, ConnectionUse use) {
		this.channel = to;
		this.carrier = Optional.of(use);
		this.handedOver = true;
		return this.request;
	}

	/**
	 * Pauses or resumes reading from the server.
	 * @param reading whether to read
	 */
	void setReading(boolean reading) {
		if (this.channel != null && !this.done) {
			this.channel.config().setAutoRead(reading);
		}
	}

	void complete() {
		if (!this.done) {
			this.done = true;
			this.listener.completed();
		}
	}

	/**
	 * Ends the request because no connection could be established.
	 * @param cause why, for the log
	 */
	void failConnecting(Throwable cause) {
		explainFailure(cause.toString());
		fail(AttemptFailure.NOT_CONNECTED);
	}

	/**
	 * Says more of a failure that follows.
	 * @param detail text for the log
	 */
	void explainFailure(String detail) {
		this.failureDetail = detail;
	}

	/**
	 * Returns why the request failed, beyond the kind of failure.
	 * @return text for the log, empty if there is no more to say
	 */
	String failureDetail() {
		return this.failureDetail;
	}

	void fail(AttemptFailure failure) {
		if (!this.done) {
			this.done = true;
			releaseUnsent();
			this.listener.failed(failure);
		}
	}

	/**
	 * Cancels the request: closes its connection and suppresses all further
	 * notifications.
	 */
	void cancel() {
		if (this.done) {
			return;
		}
		this.done = true;
		releaseUnsent();
		if (this.channel != null) {
			this.channel.close();
		}
	}

	private void releaseUnsent() {
		if (!this.handedOver) {
			this.handedOver = true;
			this.request.release();
		}
	}

}
