package io.sequoialink.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The part of a request's body that has arrived. Confined to the event loop.
 *
 * <p>
 * Invariants: all bytes are copied into segments, so the memory is at most about twice
 * their number however small the pieces are, and no buffer of a socket is kept. The
 * segments count in {@link ConnectionMemory} until their memory is released, for a
 * request that is sent when its server has taken it.
 */
final class RequestBody {

	private static final int MIN_SEGMENT_BYTES = 512;

	private static final int MAX_SEGMENT_BYTES = 16 << 10;

	private final ByteBufAllocator allocator;

	private final ConnectionMemory memory;

	private Segments segments;

	private ByteBuf last = Unpooled.EMPTY_BUFFER;

	private int bytes;

	RequestBody(ByteBufAllocator allocator, ConnectionMemory memory) {
		this.allocator = allocator;
		this.memory = memory;
	}

	/**
	 * Appends a piece.
	 * @param data the piece; stays with the caller
	 */
	void append(ByteBuf data) {
		this.bytes += data.readableBytes();
		while (data.isReadable()) {
			if (!this.last.isWritable()) {
				beginSegment(data.readableBytes());
			}
			this.last.writeBytes(data, Math.min(data.readableBytes(), this.last.writableBytes()));
		}
	}

	private void beginSegment(int pieceBytes) {
		keepLast();
		int wanted = Math.max(pieceBytes, this.bytes - pieceBytes);
		int size = Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, wanted));
		if (this.segments == null) {
			this.segments = new Segments(this.allocator, this.memory);
		}
		this.segments.count(size);
		this.last = this.allocator.directBuffer(size, size);
	}

	private void keepLast() {
		if (this.last.isReadable()) {
			this.segments.addComponent(true, this.last);
		}
		this.last = Unpooled.EMPTY_BUFFER;
	}

	/**
	 * Returns the size of the body.
	 * @return number of bytes that have arrived
	 */
	int bytes() {
		return this.bytes;
	}

	/**
	 * Returns the whole body and ends its receipt.
	 * @return the body; ownership passes to the caller
	 */
	ByteBuf take() {
		keepLast();
		return (this.segments != null) ? this.segments : Unpooled.EMPTY_BUFFER;
	}

	/**
	 * Discards the body.
	 */
	void release() {
		take().release();
		this.segments = null;
		this.bytes = 0;
	}

	/**
	 * Segments that are counted until they are released. Confined to the event loop.
	 */
	private static final class Segments extends CompositeByteBuf {

		private final ConnectionMemory memory;

		private long counted;

		private Segments(ByteBufAllocator allocator, ConnectionMemory memory) {
			super(allocator, true, Integer.MAX_VALUE);
			this.memory = memory;
		}

		private void count(int size) {
			this.counted += size;
			this.memory.add(size);
		}

		@Override
		protected void deallocate() {
			super.deallocate();
			this.memory.add(-this.counted);
		}

	}

}
