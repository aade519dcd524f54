package io.sequoialink.catalogue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.TrimmedException;

/**
 * A log stream in memory whose faults are switched on by tests: refusal, lost answers,
 * delayed appends and retention. Thread-safe.
 */
public final class MemoryLogStream implements LogStream {

	private final TreeMap<Long, LogRecord> records = new TreeMap<>();

	private final Deque<AppendFault> faults = new ArrayDeque<>();

	private final List<List<byte[]>> delayed = new ArrayList<>();

	private final List<LogRecord> taken = new ArrayList<>();

	private final LongSupplier millis;

	private long first;

	private long next;

	private boolean down;

	private boolean unreadable;

	private boolean cutReadsAfterAppend;

	public MemoryLogStream(LongSupplier millis) {
		this.millis = millis;
	}

	public MemoryLogStream() {
		this(() -> 0);
	}

	/** Switches an outage on or off: every call is refused. */
	public synchronized void down(boolean newDown) {
		this.down = newDown;
	}

	/** Switches refusal of reads alone on or off. */
	public synchronized void unreadable(boolean newUnreadable) {
		this.unreadable = newUnreadable;
	}

	/** Refuses reads from the end of the next append on. */
	public synchronized void cutReadsAfterAppend() {
		this.cutReadsAfterAppend = true;
	}

	/** Sets the faults of the next appends, one each. */
	public synchronized void nextAppends(AppendFault... next) {
		this.faults.addAll(List.of(next));
	}

	/** Takes the delayed appends into the log now. */
	public synchronized void deliverDelayed() {
		this.delayed.forEach(this::take);
		this.delayed.clear();
	}

	public synchronized int delayed() {
		return this.delayed.size();
	}

	/** Removes every record that the log took before a time. */
	public synchronized void trimBefore(long atMillis) {
		long keep = this.first;
		while (keep < this.next && this.records.get(keep).atMillis() < atMillis) {
			keep++;
		}
		trim(keep);
	}

	/** Removes every record before an offset. */
	public synchronized void trim(long newFirst) {
		this.first = Math.max(this.first, Math.min(newFirst, this.next));
		this.records.headMap(this.first).clear();
	}

	/**
	 * Replaces a record, as a writer of another release or a fault could have left it.
	 */
	public synchronized void overwrite(long offset, byte[] payload) {
		this.records.put(offset, new LogRecord(offset, this.records.get(offset).atMillis(), payload));
	}

	/** Returns every record that was ever taken, as if there were no retention. */
	public synchronized List<LogRecord> taken() {
		return List.copyOf(this.taken);
	}

	public synchronized Map<Long, LogRecord> records() {
		return new TreeMap<>(this.records);
	}

	@Override
	public synchronized long append(List<byte[]> payloads) throws LogUnavailableException, AppendUnknownException {
		AppendFault fault = this.faults.isEmpty() ? AppendFault.NONE : this.faults.removeFirst();
		if (this.down || fault == AppendFault.REFUSED) {
			throw new LogUnavailableException("the log is down");
		}
		this.unreadable |= this.cutReadsAfterAppend;
		this.cutReadsAfterAppend = false;
		if (fault == AppendFault.DELAYED) {
			this.delayed.add(payloads);
		}
		if (fault == AppendFault.DELAYED || fault == AppendFault.DROPPED) {
			throw new AppendUnknownException("no answer");
		}
		long offset = take(payloads);
		if (fault == AppendFault.DUPLICATED) {
			take(payloads);
		}
		if (fault == AppendFault.ANSWER_LOST) {
			throw new AppendUnknownException("no answer");
		}
		return offset;
	}

	private long take(List<byte[]> payloads) {
		long offset = this.next;
		for (byte[] payload : payloads) {
			LogRecord record = new LogRecord(this.next, this.millis.getAsLong(), payload);
			this.records.put(this.next, record);
			this.taken.add(record);
			this.next++;
		}
		return offset;
	}

	@Override
	public synchronized List<LogRecord> read(long fromOffset, int maxRecords)
			throws LogUnavailableException, TrimmedException {
		checkReadable();
		if (fromOffset < this.first) {
			throw new TrimmedException(fromOffset, this.first);
		}
		return this.records.tailMap(fromOffset).values().stream().limit(maxRecords).toList();
	}

	@Override
	public synchronized Bounds bounds() throws LogUnavailableException {
		checkReadable();
		return new Bounds(this.first, this.next);
	}

	private void checkReadable() throws LogUnavailableException {
		if (this.down || this.unreadable) {
			throw new LogUnavailableException("the log is down");
		}
	}

	/** What happens to one append. */
	public enum AppendFault {

		/** It is taken and answered. */
		NONE,

		/** It is refused without effect. */
		REFUSED,

		/** It is taken, the answer is lost. */
		ANSWER_LOST,

		/** It is lost, and so is the answer. */
		DROPPED,

		/** It is taken twice. */
		DUPLICATED,

		/** It is taken later, the answer is lost. */
		DELAYED

	}

}
