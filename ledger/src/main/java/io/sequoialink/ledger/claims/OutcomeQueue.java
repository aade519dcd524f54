package io.sequoialink.ledger.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Outcomes and releases that wait for the log. They are appended in batches and again
 * after a lost answer, which the fold tolerates. When {@link #MAX_BYTES} wait, further
 * outcomes are dropped, and so are those above {@link #MAX_RECORD_BYTES}, so that their
 * keys end as 'outcome unknown'. Thread-safe. Lock order: {@code flushLock}, held while
 * the log is written, then the queue.
 */
final class OutcomeQueue {

	/** The most payload bytes that wait. */
	static final long MAX_BYTES = 32L * 1024 * 1024;

	/** The largest record, so that no record can block those behind it. */
	static final int MAX_RECORD_BYTES = 512 * 1024;

	private static final int BATCH_BYTES = 256 * 1024;

	private static final long PERIOD_MILLIS = 20;

	private static final Logger logger = LoggerFactory.getLogger(OutcomeQueue.class);

	private final LogStream stream;

	private final Object flushLock = new Object();

	private final Deque<byte[]> queue = new ArrayDeque<>();

	private long bytes;

	private Thread thread;

	OutcomeQueue(LogStream stream) {
		this.stream = stream;
	}

	void add(ClaimRecord record) {
		byte[] payload = record.write();
		synchronized (this.queue) {
			if (payload.length > MAX_RECORD_BYTES || this.bytes + payload.length > MAX_BYTES) {
				logger.error(ClaimEvents.OUTCOME_DROPPED, record.claimId(), payload.length, this.bytes);
				return;
			}
			this.queue.addLast(payload);
			this.bytes += payload.length;
			this.queue.notifyAll();
		}
	}

	int flush() {
		synchronized (this.flushLock) {
			List<byte[]> batch = firstBatch();
			while (!batch.isEmpty() && append(batch)) {
				remove(batch);
				batch = firstBatch();
			}
		}
		synchronized (this.queue) {
			return this.queue.size();
		}
	}

	synchronized void start() {
		if (this.thread == null) {
			this.thread = new Thread(this::run, "claims");
			this.thread.setDaemon(true);
			this.thread.start();
		}
	}

	synchronized void close() {
		if (this.thread != null) {
			this.thread.interrupt();
		}
		flush();
	}

	private void run() {
		try {
			while (true) {
				awaitRecord();
				if (flush() > 0) {
					Thread.sleep(PERIOD_MILLIS);
				}
			}
		}
		catch (InterruptedException ex) {
			// The owner closed the queue.
		}
	}

	private void awaitRecord() throws InterruptedException {
		synchronized (this.queue) {
			while (this.queue.isEmpty()) {
				this.queue.wait();
			}
		}
	}

	private boolean append(List<byte[]> batch) {
		try {
			this.stream.append(batch);
			return true;
		}
		catch (LogUnavailableException | AppendUnknownException ex) {
			return false;
		}
	}

	private List<byte[]> firstBatch() {
		synchronized (this.queue) {
			List<byte[]> batch = new ArrayList<>();
			long size = 0;
			for (byte[] payload : this.queue) {
				size += payload.length;
				if (!batch.isEmpty() && size > BATCH_BYTES) {
					break;
				}
				batch.add(payload);
			}
			return batch;
		}
	}

	private void remove(List<byte[]> batch) {
		synchronized (this.queue) {
			for (byte[] payload : batch) {
				this.queue.removeFirst();
				this.bytes -= payload.length;
			}
		}
	}

}
