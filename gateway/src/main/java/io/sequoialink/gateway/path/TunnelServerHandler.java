package io.sequoialink.gateway.path;

import java.net.InetSocketAddress;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * The helping host's end of a connection from another host, and the connection to the
 * server behind it. Confined to the event loop. Each side is read only while the other
 * takes bytes.
 *
 * <p>
 * A connection carries one request at a time, so bytes for the server that follow bytes
 * of the server begin another request. If the zone of the server is evacuated by then,
 * none of them is passed on and the connection ends as if this host were lost, which
 * blames neither the server nor the request.
 */
final class TunnelServerHandler extends ChannelInboundHandlerAdapter {

	private final TunnelServer owner;

	private Channel client;

	private Channel server;

	private ServerEntry entry;

	private boolean asked;

	private boolean connected;

	private boolean betweenRequests = true;

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
			forward(context, frame);
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

	private void forward(ChannelHandlerContext context, ByteBuf data) {
		if (this.betweenRequests && this.owner.evacuated(this.entry)) {
			data.release();
			this.connected = false;
			this.server.close();
			context.close();
			return;
		}
		this.betweenRequests = false;
		this.server.writeAndFlush(data);
	}

	private void open(TunnelFrames.Target target) {
		Optional<TunnelAnswer> refusal = this.owner.refusal(target);
		if (refusal.isPresent()) {
			refuse(refusal.get());
			return;
		}
		this.entry = this.owner.find(target).orElseThrow();
		this.server = this.owner.connector().openForOtherHost(this.entry, new ServerSide(), (cause) -> {
			if (cause.isPresent()) {
				this.owner.explainFailure(this.entry, cause.get(), this::refuse);
				return;
			}
			if (!this.client.isActive()) {
				this.server.close();
				return;
			}
			if (this.owner.evacuated(this.entry)) {
				this.server.close();
				refuse(TunnelAnswer.UNKNOWN_SERVER);
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
			TunnelServerHandler.this.betweenRequests = true;
			to.write(TunnelFrames.header(context.alloc(), TunnelFrames.Kind.DATA, data.readableBytes()));
			to.writeAndFlush(data);
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			TunnelServerHandler.this.client.config().setAutoRead(context.channel().isWritable());
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof ChannelInputShutdownEvent) {
				context.close();
			}
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
