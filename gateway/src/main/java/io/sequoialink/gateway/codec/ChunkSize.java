package io.sequoialink.gateway.codec;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.sequoialink.gateway.codec.MalformedMessageException.Reason;

/**
 * The syntax of the line before a chunk (RFC 9112, section 7.1). Stateless.
 */
final class ChunkSize {

	/** Blanks may follow the size, as some servers pad it, and surround the semicolon. */
	private static final Pattern LINE = Pattern.compile("0*(?<size>[0-9A-Fa-f]{1,8})[ \\t]*(;[\\t -~\\x80-\\xff]*)?");

	private static final int RADIX = 16;

	private ChunkSize() {
	}

	/**
	 * Returns the size of a chunk.
	 * @param line the line without its end, one character a byte
	 * @return size in bytes, 0 for the last chunk
	 * @throws MalformedMessageException if the line is malformed, or the size above what
	 * any message here may have
	 */
	static long parse(String line) throws MalformedMessageException {
		Matcher parts = LINE.matcher(line);
		if (!parts.matches()) {
			throw new MalformedMessageException(Reason.CHUNK);
		}
		return Long.parseLong(parts.group("size"), RADIX);
	}

}
