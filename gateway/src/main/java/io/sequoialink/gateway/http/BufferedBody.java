package io.sequoialink.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * The part of a response's body that has arrived, while the response is buffered until it
 * is complete. Confined to the event loop.
 *
 * <p>
 * Invariants: the memory and the work are linear in the number of bytes, however small
 * the pieces are: small ones are copied together, as each piece kept by itself takes many
 * times its size. The bytes count in the limit of all buffered responses until their
 * memory is released, for a response that is sent when its client has taken it.
 */
final class BufferedBody {

	/** Size from which a piece is kept by itself instead of being copied, in bytes. */
	private static final int MIN_OWN_PIECE = 1024;

	/** Maximum size of the pieces that are copied together, in bytes. */
	private static final int MAX_COPIED = 16 << 10;

	/**
	 * Size up to which a body is within the limit, in bytes: a client must not lose a
	 * short answer because others leave long ones unread.
	 */
	static final int MAX_SMALL_BODY = 16 << 10;

	private final CountedBytes whole;

	private ByteBuf copied = Unpooled.EMPTY_BUFFER;

	/**
	 * Creates an empty body.
	 * @param limit limit of all buffered responses
	 */
	BufferedBody(ResponseBufferLimit limit) {
		this.whole = new CountedBytes(limit);
	}

	/**
	 * Appends a piece.
	 * @param data the piece; ownership passes to this body
	 * @return whether the body is small or all buffered responses are within their limit
	 */
	boolean append(ByteBuf data) {
		boolean withinLimit = this.whole.count(data.readableBytes());
		boolean first = !this.whole.isReadable() && !this.copied.isReadable();
		if (first || data.readableBytes() >= MIN_OWN_PIECE) {
			keepCopied();
			this.whole.addComponent(true, data);
			return withinLimit;
		}
		if (this.copied.maxWritableBytes() < data.readableBytes()) {
			keepCopied();
			// direct as the bytes received, else the whole is copied when it is sent
			this.copied = Unpooled.directBuffer(data.readableBytes(), MAX_COPIED);
		}
		this.copied.writeBytes(data);
		data.release();
		return withinLimit;
	}

	private void keepCopied() {
		if (this.copied.isReadable()) {
			this.whole.addComponent(true, this.copied);
		}
		this.copied = Unpooled.EMPTY_BUFFER;
	}

	/**
	 * Returns the size of the body.
	 * @return number of bytes that have arrived
	 */
	int bytes() {
		return this.whole.counted;
	}

	/**
	 * Returns the whole body and ends this buffering.
	 * @return the body; ownership passes to the caller
	 */
	ByteBuf take() {
		keepCopied();
		return this.whole;
	}

	/**
	 * Discards the body.
	 */
	void release() {
		take().release();
	}

	/**
	 * Bytes that count in a limit until they are released. Confined to the event loop.
	 */
	private static final class CountedBytes extends CompositeByteBuf {

		private final ResponseBufferLimit limit;

		private int counted;

		private CountedBytes(ResponseBufferLimit limit) {
			super(UnpooledByteBufAllocator.DEFAULT, true, Integer.MAX_VALUE);
			this.limit = limit;
		}

		private boolean count(int bytes) {
			this.counted += bytes;
			return this.limit.reserve(bytes) || this.counted <= MAX_SMALL_BODY;
		}

		@Override
		protected void deallocate() {
			super.deallocate();
			this.limit.release(this.counted);
		}

	}

}
