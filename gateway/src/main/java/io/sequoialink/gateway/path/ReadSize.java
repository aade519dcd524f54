package io.sequoialink.gateway.path;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * How much is read from a server's connection at a time. Stateless.
 *
 * <p>
 * One event loop serves all connections of a host in turn. A server that sends without
 * end, in pieces of a few bytes, must leave it to the others after a few milliseconds of
 * work.
 */
final class ReadSize {

	private static final int MIN_BYTES = 512;

	private static final int INITIAL_BYTES = 2048;

	/**
	 * Maximum number of bytes that a connection reads in its turn: in the smallest pieces
	 * some two thousand, which take a few milliseconds.
	 */
	private static final int MAX_BYTES = 16 << 10;

	private ReadSize() {
	}

	/**
	 * Returns an allocator of buffers with which a connection reads once in its turn.
	 * @return a new allocator
	 */
	static RecvByteBufAllocator newAllocator() {
		return new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, MAX_BYTES).maxMessagesPerRead(1);
	}

}
