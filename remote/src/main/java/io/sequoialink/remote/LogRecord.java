package io.sequoialink.remote;

import java.util.Arrays;
import java.util.Objects;

/**
 * One record of a log stream. Immutable by convention: the payload is never written after
 * construction. Thread-safe.
 *
 * @param offset the record's place in its stream; offsets increase by one a record
 * @param atMillis when the log took it, epoch milliseconds by the log's own clock
 * @param payload the record's bytes
 */
public record LogRecord(long offset, long atMillis, byte[] payload) {

	public LogRecord {
		Objects.requireNonNull(payload, "payload");
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof LogRecord that && this.offset == that.offset && this.atMillis == that.atMillis
				&& Arrays.equals(this.payload, that.payload);
	}

	@Override
	public int hashCode() {
		return Long.hashCode(this.offset);
	}

}
