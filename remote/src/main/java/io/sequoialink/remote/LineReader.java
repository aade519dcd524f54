package io.sequoialink.remote;

import java.io.ByteArrayOutputStream;
import java.util.Iterator;

import io.sequoialink.model.Effect;
import io.servicetalk.buffer.api.Buffer;

/**
 * Splits a body into lines of bounded length, each as soon as it has arrived. Confined to
 * one thread. A last line without a line feed is dropped: it may be cut short.
 */
final class LineReader {

	private static final int END = -1;

	private final Iterator<Buffer> input;

	private final int maxLineBytes;

	private Buffer current;

	LineReader(Iterator<Buffer> input, int maxLineBytes) {
		this.input = input;
		this.maxLineBytes = maxLineBytes;
	}

	/**
	 * Returns the next line.
	 * @return its bytes without the line feed, or {@code null} at the end
	 * @throws BackendException if a line is too long
	 */
	byte[] next() throws BackendException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int value = read(); value >= 0; value = read()) {
			if (value == '\n') {
				return line.toByteArray();
			}
			line.write(value);
			if (line.size() > this.maxLineBytes) {
				throw new BackendException(BackendException.Kind.INVALID, Effect.UNKNOWN,
						"a line of the answer is longer than " + this.maxLineBytes + " bytes");
			}
		}
		return null;
	}

	private int read() {
		while (this.current == null || this.current.readableBytes() == 0) {
			if (!this.input.hasNext()) {
				return END;
			}
			this.current = this.input.next();
		}
		return this.current.readByte() & 0xff;
	}

}
