package io.sequoialink.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Ends a connection to a backend server on which bytes come without end that belong to no
 * answer: before a head, in a head, in answers to other requests. Confined to the event
 * loop.
 */
final class UselessBytes extends ChannelInboundHandlerAdapter {

	/** Bytes that may come between two pieces of an answer. */
	static final int MAX_BYTES = 1 << 20;

	private final Runnable tooMany;

	private int received;

	private boolean ended;

	/**
	 * Creates a count that is at zero.
	 * @param tooMany ends the connection
	 */
	UselessBytes(Runnable tooMany) {
		this.tooMany = tooMany;
	}

	/**
	 * A request is sent, or a piece of its answer was of use: the count begins anew.
	 */
	void begin() {
		this.received = 0;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.ended) {
			ReferenceCountUtil.release(message);
			return;
		}
		int bytes = ((ByteBuf) message).readableBytes();
		this.received += bytes;
		context.fireChannelRead(message);
		if (this.received > MAX_BYTES) {
			this.ended = true;
			this.tooMany.run();
		}
	}

}
