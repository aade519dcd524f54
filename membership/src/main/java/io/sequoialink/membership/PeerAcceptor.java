package io.sequoialink.membership;

import java.io.IOException;
import java.net.SocketAddress;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.sequoialink.membership.wire.PeerProtocol.Body;

/**
 * The peer port: sends each new connection a random challenge, and hands authentic bodies
 * on. A connection ends with its first refused frame. The number of connections and the
 * size of frames are bounded. Confined to one event loop.
 */
final class PeerAcceptor {

	static final int MAX_CONNECTIONS = 1024;

	private static final int IDLE_SECONDS = 120;

	private static final int FIRST_FRAME_SECONDS = 10;

	private final Set<Channel> accepted = new HashSet<>();

	private final SecureRandom nonces = new SecureRandom();

	private final EventLoop loop;

	private final FrameCodec codec;

	private final Receiver receiver;

	private Channel server;

	PeerAcceptor(EventLoop loop, FrameCodec codec, Receiver receiver) {
		this.loop = loop;
		this.codec = codec;
		this.receiver = receiver;
	}

	/**
	 * Opens the port. Blocks until it is open.
	 * @param ip numeric local address
	 * @param port the port, 0 for any
	 * @return the bound address
	 * @throws IOException if the port can't be opened
	 */
	SocketAddress bind(String ip, int port) throws IOException {
		ChannelFuture binding = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					accept(channel);
				}

			})
			.bind(ip, port)
			.awaitUninterruptibly();
		if (!binding.isSuccess()) {
			throw new IOException("can't open peer port " + ip + ":" + port, binding.cause());
		}
		this.server = binding.channel();
		return this.server.localAddress();
	}

	void close() {
		this.server.close();
		List.copyOf(this.accepted).forEach(Channel::close);
	}

	private void accept(Channel channel) {
		if (this.accepted.size() >= MAX_CONNECTIONS) {
			channel.close();
			return;
		}
		this.accepted.add(channel);
		channel.closeFuture().addListener((closed) -> this.accepted.remove(channel));
		channel.pipeline()
			.addLast(new ReadTimeoutHandler(IDLE_SECONDS))
			.addLast(new LengthFieldBasedFrameDecoder(FrameCodec.MAX_FRAME_BYTES, 0, PeerConnections.LENGTH_BYTES, 0,
					PeerConnections.LENGTH_BYTES))
			.addLast(new Inbound());
	}

	/** Takes authentic bodies in, and is told of refusals. */
	interface Receiver {

		/**
		 * Takes a body in.
		 * @param body the authentic body
		 * @param bytes the frame's length
		 * @throws RefusedFrameException if the body is not accepted
		 */
		void received(Body body, int bytes) throws RefusedFrameException;

		/**
		 * Notes a refused frame.
		 * @param from the remote address
		 * @param refusal the reason
		 */
		void refused(SocketAddress from, RefusedFrameException refusal);

	}

	/** One accepted connection. */
	private final class Inbound extends SimpleChannelInboundHandler<ByteBuf> {

		private final byte[] nonce = new byte[FrameCodec.NONCE_BYTES];

		private long sequence;

		@Override
		public void channelActive(ChannelHandlerContext context) {
			PeerAcceptor.this.nonces.nextBytes(this.nonce);
			byte[] challenge = PeerAcceptor.this.codec.challenge(this.nonce);
			context.writeAndFlush(Unpooled.wrappedBuffer(PeerConnections.lengthOf(challenge), challenge));
			context.executor().schedule(() -> closeIfSilent(context), FIRST_FRAME_SECONDS, TimeUnit.SECONDS);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
			byte[] frame = new byte[message.readableBytes()];
			message.readBytes(frame);
			try {
				Body body = PeerAcceptor.this.codec.read(this.nonce, this.sequence + 1, frame);
				this.sequence++;
				PeerAcceptor.this.receiver.received(body, PeerConnections.LENGTH_BYTES + frame.length);
			}
			catch (RefusedFrameException ex) {
				refuse(context, ex);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			if (cause instanceof TooLongFrameException) {
				refuse(context, new RefusedFrameException(FrameRefusal.OVERSIZE, "the frame is too long"));
			}
			else if (cause instanceof DecoderException) {
				refuse(context, new RefusedFrameException(FrameRefusal.MALFORMED, "the length is negative"));
			}
			else {
				context.close();
			}
		}

		private void refuse(ChannelHandlerContext context, RefusedFrameException refusal) {
			PeerAcceptor.this.receiver.refused(context.channel().remoteAddress(), refusal);
			context.close();
		}

		private void closeIfSilent(ChannelHandlerContext context) {
			if (this.sequence == 0) {
				context.close();
			}
		}

	}

}
