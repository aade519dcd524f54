package io.sequoialink.gateway.codec;

import io.netty.buffer.ByteBuf;
import io.sequoialink.gateway.codec.MalformedMessageException.Reason;

/**
 * The syntax of the line before a chunk (RFC 9112, section 7.1). Stateless.
 *
 * <p>
 * Blanks may follow the size, as some servers pad it, and surround the semicolon before
 * an extension. Chunks may be small, so a line is read without copying it.
 */
final class ChunkSize {

	private static final int RADIX = 16;

	private static final int HEX_DIGIT_BITS = 4;

	private ChunkSize() {
	}

	/**
	 * Returns the size of a chunk.
	 * @param input holds the line
	 * @param start index of the first byte of the line
	 * @param end index behind the last one, without the end of the line
	 * @return size in bytes, 0 for the last chunk
	 * @throws MalformedMessageException if the line is malformed, or the size above what
	 * any message here may have
	 */
	static int parse(ByteBuf input, int start, int end) throws MalformedMessageException {
		int size = 0;
		int index = start;
		int digit = digit(input, index, end);
		while (digit >= 0) {
			require(size <= Integer.MAX_VALUE >> HEX_DIGIT_BITS);
			size = (size << HEX_DIGIT_BITS) | digit;
			index++;
			digit = digit(input, index, end);
		}
		require(index > start);
		requireExtension(input, index, end);
		return size;
	}

	private static int digit(ByteBuf input, int index, int end) {
		return (index < end) ? Character.digit(input.getByte(index), RADIX) : -1;
	}

	private static void requireExtension(ByteBuf input, int start, int end) throws MalformedMessageException {
		int index = start;
		while (index < end && MessageSyntax.isBlank(input.getByte(index))) {
			index++;
		}
		require(index == end || input.getByte(index) == ';');
		while (index < end) {
			byte octet = input.getByte(index);
			require(MessageSyntax.isBlank(octet) || !MessageSyntax.isBlankOrControl(octet));
			index++;
		}
	}

	private static void require(boolean condition) throws MalformedMessageException {
		if (!condition) {
			throw new MalformedMessageException(Reason.CHUNK);
		}
	}

}
