package io.sequoialink.gateway.path;

import java.io.IOException;
import java.net.ConnectException;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.sequoialink.gateway.relay.Peer;

/**
 * This host's end of a connection to a server through another host: asks for it, then
 * passes the bytes of the server's connection to the handlers behind. Confined to the
 * event loop. The end of the server's output appears as that of this connection's input
 * once all that was written here has been written to the server; its loss, and the loss
 * of the connection between the hosts, appear as exceptions. The handlers behind close
 * the connection after the end of input.
 */
final class TunnelClientHandler extends ChannelDuplexHandler {

	/** Time within which the other host answers, in milliseconds. */
	private static final long ANSWER_MILLIS = 300;

	/**
	 * Time without a byte after a request after which a host counts as silent if the
	 * connection is given up.
	 */
	private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private enum State {

		ASKING, OPEN, SERVER_ENDED, ENDED

	}

	private final Peer host;

	private final ServiceHelpers hosts;

	private final TunnelFrames.Target target;

	private final ChannelHandler handlers;

	private final LongSupplier clock;

	private final Consumer<TunnelAnswer> receiver;

	private State state = State.ASKING;

	private boolean awaitsBytes;

	private long writtenNanos;

	private long writtenBytes;

	/**
	 * Creates a handler.
	 * @param host the host that is asked
	 * @param hosts is told how the host fared with the service
	 * @param target the server
	 * @param handlers handlers of the connection, added once it is open
	 * @param clock monotonic time in nanoseconds
	 * @param receiver receives the answer; {@link TunnelAnswer#CUT_OFF} without one
	 */
	TunnelClientHandler(Peer host, ServiceHelpers hosts, TunnelFrames.Target target, ChannelHandler handlers,
			LongSupplier clock, Consumer<TunnelAnswer> receiver) {
		this.host = host;
		this.hosts = hosts;
		this.target = target;
		this.handlers = handlers;
		this.clock = clock;
		this.receiver = receiver;
	}

	ChannelInitializer<Channel> initializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline().addLast(TunnelFrames.decoder(), TunnelClientHandler.this);
			}
		};
	}

	/**
	 * The other host could not be reached.
	 * @param cause why
	 */
	void notReached(Throwable cause) {
		if (cause instanceof ConnectException) {
			unanswered(cause.toString());
		}
		givenUp();
	}

	private void givenUp() {
		if (this.state == State.ASKING) {
			this.state = State.ENDED;
			this.receiver.accept(TunnelAnswer.CUT_OFF);
		}
	}

	private void unanswered(String reason) {
		if (this.state == State.ASKING) {
			this.state = State.ENDED;
			this.hosts.unreachable(this.host, reason);
			this.receiver.accept(TunnelAnswer.CUT_OFF);
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.writeAndFlush(TunnelFrames.open(this.target));
		context.executor().schedule(() -> {
			if (this.state == State.ASKING) {
				unanswered("no answer within " + ANSWER_MILLIS + " ms");
				context.close();
			}
		}, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		ByteBuf frame = (ByteBuf) message;
		TunnelFrames.Kind kind = TunnelFrames.readKind(frame);
		if (this.state == State.OPEN && kind == TunnelFrames.Kind.DATA) {
			this.awaitsBytes = false;
			context.fireChannelRead(frame);
			return;
		}
		try {
			readControl(context, kind, frame);
		}
		finally {
			frame.release();
		}
	}

	private void readControl(ChannelHandlerContext context, TunnelFrames.Kind kind, ByteBuf payload) {
		if (this.state == State.ASKING && kind == TunnelFrames.Kind.ANSWER) {
			answered(context, TunnelFrames.readAnswer(payload));
		}
		else if (connected() && kind == TunnelFrames.Kind.END) {
			serverEnded(context, TunnelFrames.readEnd(payload));
		}
		else if (connected() && kind == TunnelFrames.Kind.RESET) {
			this.state = State.ENDED;
			context.fireExceptionCaught(new IOException("connection reset, according to host " + this.host.host()));
			context.close();
		}
		else if (this.state != State.ENDED) {
			context.close();
		}
	}

	private boolean connected() {
		return this.state == State.OPEN || this.state == State.SERVER_ENDED;
	}

	// Until the server has got everything, its connection may still turn out to be lost.
	private void serverEnded(ChannelHandlerContext context, OptionalLong writtenToServer) {
		this.state = State.SERVER_ENDED;
		if (writtenToServer.orElse(this.writtenBytes) == this.writtenBytes) {
			this.state = State.ENDED;
			context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		}
	}

	private void answered(ChannelHandlerContext context, TunnelAnswer answer) {
		if (answer == TunnelAnswer.CONNECTED) {
			this.state = State.OPEN;
			this.hosts.helped(this.host);
			context.pipeline().addLast(this.handlers);
			this.receiver.accept(answer);
			return;
		}
		this.state = State.ENDED;
		if (answer == TunnelAnswer.SILENT) {
			this.hosts.doubted(this.host, "it does not reach server " + this.target.id() + ": " + answer);
		}
		else if (answer == TunnelAnswer.UNDECIDED) {
			this.hosts.undecided(this.host);
		}
		else if (answer == TunnelAnswer.BUSY) {
			this.hosts.busy(this.host);
		}
		else if (answer == TunnelAnswer.CUT_OFF) {
			this.hosts.cutOff(this.host, "it answered " + answer);
		}
		context.close();
		this.receiver.accept(answer);
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		ByteBuf data = (ByteBuf) message;
		if (data.isReadable()) {
			this.awaitsBytes = true;
			this.writtenBytes += data.readableBytes();
			this.writtenNanos = this.clock.getAsLong();
		}
		while (data.readableBytes() > TunnelFrames.MAX_PAYLOAD_BYTES) {
			writeHeader(context, TunnelFrames.MAX_PAYLOAD_BYTES);
			context.write(data.readRetainedSlice(TunnelFrames.MAX_PAYLOAD_BYTES));
		}
		if (data.isReadable()) {
			writeHeader(context, data.readableBytes());
		}
		context.write(data, promise);
	}

	private static void writeHeader(ChannelHandlerContext context, int payloadBytes) {
		context.write(TunnelFrames.header(context.alloc(), TunnelFrames.Kind.DATA, payloadBytes));
	}

	@Override
	public void close(ChannelHandlerContext context, ChannelPromise promise) {
		boolean silent = this.state == State.OPEN && this.awaitsBytes
				&& this.clock.getAsLong() - this.writtenNanos > SILENT_NANOS;
		if (silent) {
			this.hosts.doubted(this.host, "nothing came back through it");
		}
		givenUp();
		this.state = State.ENDED;
		context.close(promise);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		unanswered("connection ended without an answer");
		lost(context, "connection lost");
		context.fireChannelInactive();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		lost(context, cause.toString());
		context.close();
	}

	private void lost(ChannelHandlerContext context, String reason) {
		if (connected()) {
			this.state = State.ENDED;
			this.hosts.unreachable(this.host, reason);
			context.fireExceptionCaught(new TunnelLostException(this.host.host()));
		}
	}

}
