package io.sequoialink.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection to a backend server that sends too many bytes which are no part of
 * the expected response: before the head, within an endless head, or in responses to
 * other requests. Confined to the event loop.
 */
final class UnexpectedByteLimit extends ChannelInboundHandlerAdapter {

	/** Maximum number of bytes between two useful parts of a response. */
	static final int MAX_BYTES = 1 << 20;

	private final Runnable onLimitExceeded;

	private int received;

	private boolean closed;

	/**
	 * Creates a limit for a connection that has received nothing yet.
	 * @param onLimitExceeded closes the connection
	 */
	UnexpectedByteLimit(Runnable onLimitExceeded) {
		this.onLimitExceeded = onLimitExceeded;
	}

	/**
	 * Resets the counter when a request is sent or a part of its response was accepted.
	 */
	void reset() {
		this.received = 0;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closed) {
			ReferenceCountUtil.release(message);
			return;
		}
		int bytes = ((ByteBuf) message).readableBytes();
		this.received += bytes;
		context.fireChannelRead(message);
		if (this.received > MAX_BYTES) {
			this.closed = true;
			this.onLimitExceeded.run();
		}
	}

}
