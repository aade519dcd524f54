package io.sequoialink.gateway.path;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * A connection that carries nothing; tells whether it could be opened. Thread-safe.
 */
final class OneConnection implements ConnectionAttempt {

	private static final int MAX_SECONDS = 5;

	private final CompletableFuture<Boolean> opened = new CompletableFuture<>();

	/**
	 * Waits for the outcome.
	 * @return whether the connection was opened
	 */
	boolean opened() throws Exception {
		return this.opened.get(MAX_SECONDS, TimeUnit.SECONDS);
	}

	@Override
	public boolean cancelled() {
		return false;
	}

	@Override
	public ChannelHandler newHandlers() {
		return new ChannelInboundHandlerAdapter();
	}

	@Override
	public void connecting(Channel channel) {
		// not cancelled
	}

	@Override
	public void opened(boolean direct) {
		this.opened.complete(true);
	}

	@Override
	public void failed(Throwable cause) {
		this.opened.complete(false);
	}

}
