package io.sequoialink.gateway.path;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import io.sequoialink.gateway.codec.ResponseDecoder;
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
 *
 * <p>
 * The server's end and its loss are told apart for the other host: a lost connection may
 * show in a write only, and then the input of the server ends without an error.
 */
final class TunnelServerHandler extends ChannelInboundHandlerAdapter {

	/**
	 * Time the other host has to close the connection after the server's was lost, in
	 * milliseconds.
	 */
	private static final int LINGER_MILLIS = 500;

	private final TunnelServer owner;

	private Channel client;

	private Channel server;

	private ServerEntry entry;

	private boolean asked;

	private boolean connected;

	private boolean betweenRequests = true;

	private boolean lost;

	private boolean serverEnded;

	private boolean writeFailed;

	private int pendingWrites;

	private long writtenBytes;

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
			if (this.lost) {
				return;
			}
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
		int bytes = data.readableBytes();
		this.pendingWrites++;
		this.server.writeAndFlush(data).addListener((write) -> written(bytes, write.isSuccess()));
	}

	private void written(int bytes, boolean success) {
		this.pendingWrites--;
		this.writtenBytes += success ? bytes : 0;
		this.writeFailed |= !success;
		if (this.serverEnded) {
			tellEnd();
		}
	}

	private void tellEnd() {
		if (this.writeFailed) {
			tellLoss();
		}
		else if (this.connected && this.pendingWrites == 0) {
			this.client.writeAndFlush(TunnelFrames.end(this.writtenBytes));
		}
	}

	// Closing the connection with unread input would reset it, and the other host might
	// lose what the server had sent.
	private void tellLoss() {
		if (!this.connected || !this.client.isActive()) {
			return;
		}
		this.connected = false;
		this.lost = true;
		this.server.close();
		this.client.config().setAutoRead(true);
		this.client.writeAndFlush(TunnelFrames.empty(TunnelFrames.Kind.RESET));
		this.client.eventLoop().schedule((Runnable) this.client::close, LINGER_MILLIS, TimeUnit.MILLISECONDS);
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
			ResponseDecoder.limitSendBuffer(this.server);
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
			if (!TunnelServerHandler.this.lost) {
				TunnelServerHandler.this.client.config().setAutoRead(context.channel().isWritable());
			}
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof ChannelInputShutdownEvent) {
				TunnelServerHandler.this.serverEnded = true;
				tellEnd();
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			tellLoss();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			tellLoss();
			context.close();
		}

	}

}
