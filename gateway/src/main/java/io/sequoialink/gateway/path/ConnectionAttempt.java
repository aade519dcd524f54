package io.sequoialink.gateway.path;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;

/**
 * What a connection is opened for. Called on the event loop; exactly one of
 * {@link #opened(boolean)} and {@link #failed(Throwable)} is called, unless it is
 * cancelled.
 */
public interface ConnectionAttempt {

	/**
	 * Returns whether the connection is not needed any more.
	 * @return whether opening it should be given up
	 */
	boolean cancelled();

	/**
	 * Returns new handlers of the connection. Called for each channel that is tried,
	 * since a channel that did not connect keeps its handlers.
	 * @return adds the handlers
	 */
	ChannelHandler newHandlers();

	/**
	 * Called before connecting, possibly several times. Closing the channel cancels.
	 * @param channel the channel that connects now
	 */
	void connecting(Channel channel);

	/**
	 * The connection to the server is open and the last handlers have been added.
	 * @param direct whether it does not go through another host
	 */
	void opened(boolean direct);

	/**
	 * No connection could be opened; nothing was sent to the server.
	 * @param cause why
	 */
	void failed(Throwable cause);

}
