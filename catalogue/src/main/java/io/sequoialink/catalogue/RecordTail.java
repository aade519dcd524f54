package io.sequoialink.catalogue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.sequoialink.remote.LogRecord;

/**
 * The folded records from the newest whole checkpoint on: enough to rebuild the state,
 * for a peer that can't read the log, and to tell when the next checkpoint is due. Holds
 * at most {@link #MAX_BYTES} of payloads. Not thread-safe.
 */
final class RecordTail {

	/** The most payload bytes that are kept. */
	static final long MAX_BYTES = 8L * 1024 * 1024;

	private final Deque<LogRecord> records = new ArrayDeque<>();

	private final CheckpointAssembler assembler;

	private long bytes;

	private long covers = -1;

	private int changes;

	RecordTail(CheckpointReader reader) {
		this.assembler = new CheckpointAssembler(reader);
	}

	/**
	 * Takes the next folded record.
	 * @param record the record
	 * @param change whether it is a change rather than a chunk or a skipped record
	 */
	void add(LogRecord record, boolean change) {
		this.records.addLast(record);
		this.bytes += record.payload().length;
		this.changes += change ? 1 : 0;
		if (!change) {
			this.assembler.add(record).ifPresent(this::keepFrom);
		}
		while (this.bytes > MAX_BYTES) {
			removeOldest();
		}
	}

	/**
	 * Starts over after a jump to a checkpoint.
	 * @param newCovers the offset that the checkpoint covers
	 */
	void restart(long newCovers) {
		this.records.clear();
		this.bytes = 0;
		this.changes = 0;
		this.covers = newCovers;
	}

	/**
	 * Returns records in the order of their offsets.
	 * @param offset the first wanted offset
	 * @param max the most records to return
	 * @return the records from that offset on, or from the oldest one that is held
	 */
	List<LogRecord> since(long offset, int max) {
		List<LogRecord> wanted = new ArrayList<>();
		for (LogRecord record : this.records) {
			if (record.offset() >= offset && wanted.size() < max) {
				wanted.add(record);
			}
		}
		return wanted;
	}

	/**
	 * Returns when the log took the oldest record that a rebuild needs.
	 * @return epoch milliseconds by the log's clock, or empty without any record
	 */
	Optional<Long> oldestMillis() {
		return Optional.ofNullable(this.records.peekFirst()).map(LogRecord::atMillis);
	}

	/**
	 * Returns the changes that a rebuild has to fold after the newest whole checkpoint.
	 * @return a count
	 */
	int changes() {
		return this.changes;
	}

	private void keepFrom(CheckpointAssembler.Whole whole) {
		if (whole.covers() <= this.covers) {
			return;
		}
		this.covers = whole.covers();
		while (!this.records.isEmpty() && this.records.peekFirst().offset() <= this.covers) {
			removeOldest();
		}
		this.changes = (int) this.records.stream().filter((record) -> isChange(record)).count();
	}

	private static boolean isChange(LogRecord record) {
		try {
			return ConfigRecords.read(record.payload()) instanceof ConfigRecord.ChangeRecord;
		}
		catch (MalformedRecordException ex) {
			return false;
		}
	}

	private void removeOldest() {
		this.bytes -= this.records.removeFirst().payload().length;
	}

}
