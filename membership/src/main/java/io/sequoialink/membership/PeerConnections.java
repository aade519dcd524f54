package io.sequoialink.membership;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.sequoialink.membership.wire.PeerProtocol.Body;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connections that this host opened, one an address, each made when it is first
 * needed and closed when it was idle for a while. A message that can't be sent at once is
 * kept only while its connection is being made, up to a bound; otherwise it is dropped
 * and counted. Confined to one event loop.
 */
final class PeerConnections {

	static final int LENGTH_BYTES = 4;

	private static final int CONNECT_TIMEOUT_MILLIS = 2000;

	private static final long IDLE_MILLIS = 60_000;

	private static final int MAX_WAITING = 64;

	private static final Logger LOG = LoggerFactory.getLogger(PeerConnections.class);

	private final Map<Address, Connection> connections = new HashMap<>();

	private final Bootstrap bootstrap;

	private final FrameCodec codec;

	private final TrafficCounters counters;

	PeerConnections(EventLoop loop, FrameCodec codec, TrafficCounters counters) {
		this.codec = codec;
		this.counters = counters;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
	}

	void send(List<Outgoing> messages, long nowMillis) {
		for (Outgoing message : messages) {
			Address address = new Address(message.ip(), message.port());
			this.connections.computeIfAbsent(address, this::open).send(message.body(), nowMillis);
		}
	}

	void closeIdle(long nowMillis) {
		this.connections.values()
			.stream()
			.filter((connection) -> nowMillis - connection.lastUsedMillis > IDLE_MILLIS)
			.forEach((connection) -> connection.channel.close());
	}

	void close() {
		List.copyOf(this.connections.values()).forEach((connection) -> connection.channel.close());
	}

	static byte[] lengthOf(byte[] frame) {
		return ByteBuffer.allocate(LENGTH_BYTES).putInt(frame.length).array();
	}

	private Connection open(Address address) {
		Connection connection = new Connection(address);
		ChannelFuture connecting = this.bootstrap.clone().handler(new ChannelInitializer<>() {

			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new LengthFieldBasedFrameDecoder(FrameCodec.ENVELOPE_BYTES, 0, LENGTH_BYTES, 0,
							LENGTH_BYTES))
					.addLast(connection);
			}

		}).connect(address.ip(), address.port());
		connection.channel = connecting.channel();
		connection.channel.closeFuture().addListener((closed) -> connection.ended());
		return connection;
	}

	private void drop(Address address, String reason) {
		LOG.debug(MembershipEvents.SEND_DROPPED, address.ip(), address.port(), reason, this.counters.dropped());
	}

	/**
	 * A numeric address with a port.
	 *
	 * @param ip the address
	 * @param port the port
	 */
	private record Address(String ip, int port) {
	}

	/** One connection; it may send once the accepting host has sent its challenge. */
	private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {

		private final Address address;

		private final Queue<Body> waiting = new ArrayDeque<>();

		private Channel channel;

		private byte[] nonce;

		private long sequence;

		private long lastUsedMillis;

		private Connection(Address address) {
			this.address = address;
		}

		private void send(Body body, long nowMillis) {
			this.lastUsedMillis = nowMillis;
			if (this.nonce == null && this.waiting.size() < MAX_WAITING) {
				this.waiting.add(body);
			}
			else if (this.nonce != null && this.channel.isWritable()) {
				write(body);
			}
			else {
				drop(this.address, "the connection is not ready");
			}
		}

		private void write(Body body) {
			byte[] frame = PeerConnections.this.codec.sign(this.nonce, ++this.sequence, body);
			PeerConnections.this.counters.sent(body, LENGTH_BYTES + frame.length);
			this.channel.writeAndFlush(Unpooled.wrappedBuffer(lengthOf(frame), frame));
		}

		private void ended() {
			PeerConnections.this.connections.remove(this.address, this);
			this.waiting.forEach((body) -> drop(this.address, "no connection"));
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf message) throws RefusedFrameException {
			byte[] frame = new byte[message.readableBytes()];
			message.readBytes(frame);
			if (this.nonce != null) {
				throw new RefusedFrameException(FrameRefusal.MALFORMED, "a second challenge");
			}
			this.nonce = PeerConnections.this.codec.readChallenge(frame);
			this.waiting.forEach(this::write);
			this.waiting.clear();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
