package io.sequoialink.gateway.http;

import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection to a backend server that sends any bytes while no response is
 * expected, or too many which are no part of the expected one: before the head, within an
 * endless head, or in responses to other requests. Confined to the event loop.
 */
final class UnexpectedByteLimit extends ChannelInboundHandlerAdapter {

	/** Maximum number of bytes between two useful parts of a response. */
	static final int MAX_BYTES = 1 << 20;

	private final BooleanSupplier responseExpected;

	private final Runnable onLimitExceeded;

	private int received;

	private boolean closed;

	/**
	 * Creates a limit for a connection that has received nothing yet.
	 * @param responseExpected returns whether a request awaits a response
	 * @param onLimitExceeded closes the connection
	 */
	UnexpectedByteLimit(BooleanSupplier responseExpected, Runnable onLimitExceeded) {
		this.responseExpected = responseExpected;
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
		boolean expected = this.responseExpected.getAsBoolean();
		context.fireChannelRead(message);
		if (!expected || this.received > MAX_BYTES) {
			this.closed = true;
			this.onLimitExceeded.run();
		}
	}

}
