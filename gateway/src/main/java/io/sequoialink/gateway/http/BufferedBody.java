package io.sequoialink.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The part of a response's body that has arrived, while the response is buffered until it
 * is complete. Confined to the event loop.
 *
 * <p>
 * Invariant: the memory and the work are linear in the number of bytes, however small the
 * pieces are: small ones are copied together, as each piece kept by itself takes many
 * times its size.
 */
final class BufferedBody {

	/** Size from which a piece is kept by itself instead of being copied, in bytes. */
	private static final int MIN_OWN_PIECE = 1024;

	/** Maximum size of the pieces that are copied together, in bytes. */
	private static final int MAX_COPIED = 16 << 10;

	private final CompositeByteBuf whole = Unpooled.compositeBuffer(Integer.MAX_VALUE);

	private ByteBuf copied = Unpooled.EMPTY_BUFFER;

	/**
	 * Appends a piece.
	 * @param data the piece; ownership passes to this body
	 */
	void append(ByteBuf data) {
		boolean first = !this.whole.isReadable() && !this.copied.isReadable();
		if (first || data.readableBytes() >= MIN_OWN_PIECE) {
			keepCopied();
			this.whole.addComponent(true, data);
			return;
		}
		if (this.copied.maxWritableBytes() < data.readableBytes()) {
			keepCopied();
			this.copied = Unpooled.buffer(data.readableBytes(), MAX_COPIED);
		}
		this.copied.writeBytes(data);
		data.release();
	}

	private void keepCopied() {
		if (this.copied.isReadable()) {
			this.whole.addComponent(true, this.copied);
		}
		this.copied = Unpooled.EMPTY_BUFFER;
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

}
