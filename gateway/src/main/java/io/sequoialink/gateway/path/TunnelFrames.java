package io.sequoialink.gateway.path;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Frames of the connection between a host and the one that helps it. Stateless.
 *
 * <pre>
 * kind(1) length(4) payload(length)
 *   OPEN: start time of the server(8) identifier of the server(UTF-8)
 *   ANSWER: code of {@link TunnelAnswer}(1)
 *   DATA: bytes of the connection to the server
 *   END: the server has ended its output in order, and so many bytes have been written to
 *     it(8); repeated after further ones. Without payload from earlier versions, once
 *   RESET: the connection to the server was lost; no payload
 * </pre>
 *
 * A connection that ends without END or RESET was lost between the hosts.
 */
final class TunnelFrames {

	static final int HEADER_BYTES = 5;

	/**
	 * Most bytes of a payload, so that a frame that is not complete takes little memory;
	 * as many as are read from a socket at a time.
	 */
	static final int MAX_PAYLOAD_BYTES = 64 << 10;

	private static final int LENGTH_OFFSET = 1;

	private static final int LENGTH_BYTES = 4;

	private TunnelFrames() {
	}

	/**
	 * Returns a handler that splits the received bytes into frames with their headers.
	 * @return a new decoder
	 */
	static ChannelHandler decoder() {
		return new LengthFieldBasedFrameDecoder(HEADER_BYTES + MAX_PAYLOAD_BYTES, LENGTH_OFFSET, LENGTH_BYTES);
	}

	/**
	 * Reads the kind of a frame and removes its header.
	 * @param frame the frame; its reader index moves to the payload
	 * @return the kind
	 */
	static Kind readKind(ByteBuf frame) {
		int code = frame.readByte();
		frame.skipBytes(LENGTH_BYTES);
		if (code < 0 || code >= Kind.ALL.length) {
			throw new DecoderException("unknown kind of frame: " + code);
		}
		return Kind.ALL[code];
	}

	/**
	 * Returns the header of a frame.
	 * @param allocator allocates the buffer
	 * @param kind kind of the frame
	 * @param payloadBytes length of the payload that follows
	 * @return the header
	 */
	static ByteBuf header(ByteBufAllocator allocator, Kind kind, int payloadBytes) {
		return allocator.buffer(HEADER_BYTES).writeByte(kind.ordinal()).writeInt(payloadBytes);
	}

	/**
	 * Returns a frame without payload.
	 * @param kind kind of the frame
	 * @return the frame
	 */
	static ByteBuf empty(Kind kind) {
		return header(ByteBufAllocator.DEFAULT, kind, 0);
	}

	/**
	 * Returns the frame that says that the server has ended its output.
	 * @param writtenBytes bytes of the connection that have been written to the server
	 * @return the frame
	 */
	static ByteBuf end(long writtenBytes) {
		return header(ByteBufAllocator.DEFAULT, Kind.END, Long.BYTES).writeLong(writtenBytes);
	}

	/**
	 * Reads the payload of a frame that says that the server has ended its output.
	 * @param payload the payload
	 * @return bytes that have been written to the server, empty if the other host does
	 * not tell
	 */
	static OptionalLong readEnd(ByteBuf payload) {
		return (payload.readableBytes() >= Long.BYTES) ? OptionalLong.of(payload.readLong()) : OptionalLong.empty();
	}

	/**
	 * Returns the frame that asks for a connection.
	 * @param target the server
	 * @return the frame
	 */
	static ByteBuf open(Target target) {
		byte[] id = target.id().getBytes(StandardCharsets.UTF_8);
		return header(ByteBufAllocator.DEFAULT, Kind.OPEN, Long.BYTES + id.length).writeLong(target.startMillis())
			.writeBytes(id);
	}

	/**
	 * Returns the frame with an answer.
	 * @param answer the answer
	 * @return the frame
	 */
	static ByteBuf answer(TunnelAnswer answer) {
		return Unpooled.wrappedBuffer(header(ByteBufAllocator.DEFAULT, Kind.ANSWER, 1),
				Unpooled.wrappedBuffer(new byte[] { answer.code() }));
	}

	/**
	 * Reads the payload of a frame that asks for a connection.
	 * @param payload the payload
	 * @return the server
	 */
	static Target readOpen(ByteBuf payload) {
		if (payload.readableBytes() <= Long.BYTES) {
			throw new DecoderException("a frame that asks for a connection is too short");
		}
		long startMillis = payload.readLong();
		return new Target(payload.readCharSequence(payload.readableBytes(), StandardCharsets.UTF_8).toString(),
				startMillis);
	}

	/**
	 * Reads the payload of a frame with an answer.
	 * @param payload the payload
	 * @return the answer
	 */
	static TunnelAnswer readAnswer(ByteBuf payload) {
		int code = payload.isReadable() ? payload.readByte() : -1;
		return TunnelAnswer.of(code).orElseThrow(() -> new DecoderException("unknown answer: " + code));
	}

	/** Kinds of frames; their order is part of the format. */
	enum Kind {

		OPEN, ANSWER, DATA, END, RESET;

		private static final Kind[] ALL = values();

	}

	/**
	 * A server to connect to. Immutable.
	 *
	 * @param id identifier of the server
	 * @param startMillis start time of its incarnation as Unix time in milliseconds
	 */
	record Target(String id, long startMillis) {
	}

}
