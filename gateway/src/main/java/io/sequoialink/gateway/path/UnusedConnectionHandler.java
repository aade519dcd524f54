package io.sequoialink.gateway.path;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handler of a connection that is only opened to see that it can be. Confined to the
 * event loop.
 */
final class UnusedConnectionHandler extends ChannelInboundHandlerAdapter {

	private static final Logger logger = LoggerFactory.getLogger(UnusedConnectionHandler.class);

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		ReferenceCountUtil.release(message);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			context.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.debug("connection that was opened as a check was lost: {}", cause.toString());
		context.close();
	}

}
