package io.sequoialink.gateway.relay;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.sequoialink.gateway.GatewayEvents;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * UDP socket for datagrams between hosts. If it cannot be opened, this host receives
 * nothing and therefore reads the store itself. Confined to the event loop, except
 * {@link #start(EventLoopGroup, InetSocketAddress, BiConsumer)}.
 */
public final class PeerSocket implements DatagramSender {

	private static final Logger logger = LoggerFactory.getLogger(PeerSocket.class);

	private static final int RECEIVE_BUFFER_BYTES = 1 << 18;

	private Channel channel;

	/**
	 * Opens the socket asynchronously.
	 * @param loop the event loop
	 * @param address local address to bind
	 * @param consumer receives the sender's address and the payload of each datagram
	 */
	public void start(EventLoopGroup loop, InetSocketAddress address, BiConsumer<InetAddress, byte[]> consumer) {
		new Bootstrap().group(loop)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
			.handler(new Receiver(consumer))
			.bind(address)
			.addListener((opened) -> {
				if (!opened.isSuccess()) {
					logger.warn(GatewayEvents.NO_PEER_SOCKET, address, opened.cause().toString());
				}
			});
	}

	@Override
	public void send(InetSocketAddress to, byte[] datagram) {
		if (this.channel != null && this.channel.isWritable()) {
			this.channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to));
		}
	}

	/** Passes received datagrams to the consumer. */
	private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		private final BiConsumer<InetAddress, byte[]> consumer;

		private Receiver(BiConsumer<InetAddress, byte[]> consumer) {
			this.consumer = consumer;
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			PeerSocket.this.channel = context.channel();
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			this.consumer.accept(packet.sender().getAddress(), ByteBufUtil.getBytes(packet.content()));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			logger.debug("could not receive or send a datagram", cause);
		}

	}

}
