package io.sequoialink.gateway.codec;

import java.util.Optional;
import java.util.function.Consumer;

import io.netty.buffer.ByteBufHolder;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/**
 * Tells whether all requests on a connection have been passed to the socket whole.
 * Confined to the event loop.
 *
 * <p>
 * What the socket holds may still be lost, and nothing tells when that happens after the
 * server has ended its output. The socket of a long request therefore holds little.
 */
final class RequestWrites extends ChannelOutboundHandlerAdapter {

	/** Body size from which a request counts as long, in bytes. */
	private static final int LONG_BYTES = 64 << 10;

	/**
	 * Send buffer for long requests, in bytes; the system doubles it. Within a region it
	 * is sent some hundred times a second.
	 */
	private static final int SEND_BUFFER_BYTES = 64 << 10;

	private int pending;

	private Optional<Throwable> failure = Optional.empty();

	private Optional<Consumer<Optional<Throwable>>> waiting = Optional.empty();

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (message instanceof ByteBufHolder request && request.content().readableBytes() > LONG_BYTES) {
			limitSendBuffer(context.channel());
		}
		this.pending++;
		ChannelPromise observed = promise.unvoid();
		observed.addListener((future) -> ended((ChannelFuture) future));
		context.write(message, observed);
	}

	private void ended(ChannelFuture write) {
		this.pending--;
		if (!write.isSuccess() && this.failure.isEmpty()) {
			this.failure = Optional.of(write.cause());
		}
		if (settled()) {
			Optional<Consumer<Optional<Throwable>>> receiver = this.waiting;
			this.waiting = Optional.empty();
			receiver.ifPresent((each) -> each.accept(this.failure));
		}
	}

	/**
	 * Limits what the socket of a long request holds.
	 * @param channel connection to the server
	 */
	static void limitSendBuffer(Channel channel) {
		channel.config().setOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES);
	}

	private boolean settled() {
		return this.pending == 0 || this.failure.isPresent();
	}

	/**
	 * Waits for the writes under way.
	 * @param receiver receives why one failed, or empty once all have succeeded, exactly
	 * once; called at once if none is under way
	 */
	void whenSettled(Consumer<Optional<Throwable>> receiver) {
		if (settled()) {
			receiver.accept(this.failure);
			return;
		}
		this.waiting = Optional.of(receiver);
	}

}
