package io.sequoialink.gateway.path;

import java.net.InetSocketAddress;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * The helping host's end of a connection from another host, and the connection to the
 * server behind it. Confined to the event loop. Each side is read only while the other
 * takes bytes.
 */
final class TunnelServerHandler extends ChannelInboundHandlerAdapter {

	private final TunnelServer owner;

	private Channel client;

	private Channel server;

	private boolean asked;

	private boolean connected;

	TunnelServerHandler(TunnelServer owner) {
		this.owner = owner;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.client = context.channel();
		if (!this.owner.accept(this, ((InetSocketAddress) this.client.remoteAddress()).getAddress())) {
			context.close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		ByteBuf frame = (ByteBuf) message;
		TunnelFrames.Kind kind = TunnelFrames.readKind(frame);
		if (this.connected && kind == TunnelFrames.Kind.DATA) {
			this.server.writeAndFlush(frame);
			return;
		}
		try {
			if (this.asked || kind != TunnelFrames.Kind.OPEN) {
				context.close();
				return;
			}
			this.asked = true;
			open(TunnelFrames.readOpen(frame));
		}
		finally {
			frame.release();
		}
	}

	private void open(TunnelFrames.Target target) {
		Optional<TunnelAnswer> refusal = this.owner.refusal(target);
		if (refusal.isPresent()) {
			refuse(refusal.get());
			return;
		}
		ServerEntry entry = this.owner.find(target).orElseThrow();
		this.server = this.owner.connector().openForOtherHost(entry, new ServerSide(), (cause) -> {
			if (cause.isPresent()) {
				this.owner.explainFailure(entry, cause.get(), this::refuse);
				return;
			}
			if (!this.client.isActive()) {
				this.server.close();
				return;
			}
			this.connected = true;
			this.server.config().setWriteBufferWaterMark(TunnelServer.WATER_MARK);
			this.client.writeAndFlush(TunnelFrames.answer(TunnelAnswer.CONNECTED));
		});
	}

	private void refuse(TunnelAnswer answer) {
		this.client.writeAndFlush(TunnelFrames.answer(answer)).addListener(ChannelFutureListener.CLOSE);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.connected) {
			this.server.config().setAutoRead(this.client.isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.owner.ended(this);
		if (this.connected) {
			this.server.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	/** The connection to the server. */
	private final class ServerSide extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			ByteBuf data = (ByteBuf) message;
			Channel to = TunnelServerHandler.this.client;
			if (!data.isReadable() || !to.isActive()) {
				ReferenceCountUtil.release(data);
				return;
			}
			to.write(TunnelFrames.header(context.alloc(), TunnelFrames.Kind.DATA, data.readableBytes()));
			to.writeAndFlush(data);
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			TunnelServerHandler.this.client.config().setAutoRead(context.channel().isWritable());
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			finish(TunnelFrames.Kind.END);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			finish(TunnelFrames.Kind.RESET);
			context.close();
		}

		private void finish(TunnelFrames.Kind kind) {
			Channel to = TunnelServerHandler.this.client;
			if (TunnelServerHandler.this.connected && to.isActive()) {
				TunnelServerHandler.this.connected = false;
				to.writeAndFlush(TunnelFrames.empty(kind)).addListener(ChannelFutureListener.CLOSE);
			}
		}

	}

}
