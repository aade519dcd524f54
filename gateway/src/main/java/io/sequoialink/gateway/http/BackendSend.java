package io.sequoialink.gateway.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * One request on its way to one backend server. Confined to the event loop; its listener
 * is told one end at most, and none after {@link #cancel()}.
 */
final class BackendSend {

	private final String requestId;

	private final FullHttpRequest request;

	private final BackendListener listener;

	private Channel channel;

	private boolean handedOver;

	private boolean over;

	BackendSend(String requestId, FullHttpRequest request, BackendListener listener) {
		this.requestId = requestId;
		this.request = request;
		this.listener = listener;
	}

	String requestId() {
		return this.requestId;
	}

	BackendListener listener() {
		return this.listener;
	}

	boolean over() {
		return this.over;
	}

	void connecting(Channel opening) {
		this.channel = opening;
	}

	/**
	 * Hands the request to a connection.
	 * @param to channel of the connection
	 * @return the request to write; ownership passes to the channel
	 */
	FullHttpRequest handOver(Channel to) {
		this.channel = to;
		this.handedOver = true;
		return this.request;
	}

	/**
	 * Reads on from the server, or pauses.
	 * @param wanted whether more bytes are wanted
	 */
	void read(boolean wanted) {
		if (this.channel != null && !this.over) {
			this.channel.config().setAutoRead(wanted);
		}
	}

	void end() {
		if (!this.over) {
			this.over = true;
			this.listener.ended();
		}
	}

	void fail(SendLoss loss) {
		if (!this.over) {
			this.over = true;
			dropUnsent();
			this.listener.lost(loss);
		}
	}

	/**
	 * Ends the send at once: its connection is closed and the listener hears nothing
	 * more.
	 */
	void cancel() {
		if (this.over) {
			return;
		}
		this.over = true;
		dropUnsent();
		if (this.channel != null) {
			this.channel.close();
		}
	}

	private void dropUnsent() {
		if (!this.handedOver) {
			this.handedOver = true;
			this.request.release();
		}
	}

}
