package io.sequoialink.catalogue;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import io.sequoialink.remote.LogRecord;

/**
 * What a host answers to a peer that asks for records. Immutable and thread-safe.
 *
 * @param records records of the log in the order of their offsets, as many as fit
 * @param next the offset that the answering host folds next
 * @param age how long ago the answering host confirmed that its view was the newest, at
 * the time of the answer
 */
public record PeerTail(List<LogRecord> records, long next, Duration age) {

	public PeerTail {
		records = List.copyOf(records);
		Objects.requireNonNull(age, "age");
	}

}
