package io.sequoialink.gateway.codec;

import java.util.Optional;
import java.util.function.Consumer;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/**
 * Tells whether all requests on a connection have been passed to the socket whole.
 * Confined to the event loop.
 */
final class RequestWrites extends ChannelOutboundHandlerAdapter {

	private int pending;

	private Optional<Throwable> failure = Optional.empty();

	private Consumer<Optional<Throwable>> waiting = (cause) -> {
	};

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
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
			this.waiting.accept(this.failure);
		}
	}

	private boolean settled() {
		return this.pending == 0 || this.failure.isPresent();
	}

	/**
	 * Waits for the writes under way.
	 * @param receiver receives why one failed, or empty once all have succeeded; called
	 * at once if none is under way
	 */
	void whenSettled(Consumer<Optional<Throwable>> receiver) {
		if (settled()) {
			receiver.accept(this.failure);
			return;
		}
		this.waiting = receiver;
	}

}
