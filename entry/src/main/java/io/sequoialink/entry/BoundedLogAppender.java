package io.sequoialink.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;

/**
 * Log appender that never blocks the caller: it queues events and writes them in batches
 * from its own thread. Thread-safe.
 *
 * <p>
 * Rate and queue are bounded. After {@link #MAX_INFO_LINES_PER_SECOND} lines in a second,
 * further lines of level info or below are dropped; after {@link #MAX_LINES_PER_SECOND},
 * all are. Lines are also dropped while the queue is full because the output is slow or
 * blocked. The number of dropped lines is logged with the next batch.
 */
final class BoundedLogAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {

	/**
	 * Number of lines in a second after which lines of level info or below are dropped.
	 */
	static final int MAX_INFO_LINES_PER_SECOND = 150;

	/** Most lines written in a second, whatever their level. */
	static final int MAX_LINES_PER_SECOND = 400;

	static final int QUEUE_CAPACITY = 2048;

	/**
	 * Time between two batches, in milliseconds. Batching saves a thread wake-up and a
	 * system call per line.
	 */
	private static final long BATCH_MILLIS = 100;

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final BlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final OutputStream output;

	private final JsonLogFormatter formatter;

	private final LongSupplier clock;

	private final Thread writer = new Thread(this::runWriter, "log");

	private long currentSecond;

	private int linesInCurrentSecond;

	/**
	 * Creates an appender; {@link #start()} starts its writer thread.
	 * @param output receives the lines; may block
	 * @param formatter formats the lines
	 * @param clock monotonic time in nanoseconds
	 */
	BoundedLogAppender(OutputStream output, JsonLogFormatter formatter, LongSupplier clock) {
		this.output = output;
		this.formatter = formatter;
		this.clock = clock;
		this.writer.setDaemon(true);
	}

	@Override
	public void start() {
		super.start();
		this.writer.start();
	}

	/**
	 * Writes all queued lines and ends the writer thread; waits for it no longer than the
	 * given time.
	 * @param millis longest time to wait, in milliseconds
	 */
	void flush(long millis) {
		this.writer.interrupt();
		try {
			this.writer.join(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	protected void append(ILoggingEvent event) {
		if (!withinRateLimit(event.getLevel()) || !this.queue.offer(event)) {
			this.dropped.incrementAndGet();
		}
	}

	private synchronized boolean withinRateLimit(Level level) {
		long now = this.clock.getAsLong() / SECOND_NANOS;
		if (now != this.currentSecond) {
			this.currentSecond = now;
			this.linesInCurrentSecond = 0;
		}
		int limit = level.isGreaterOrEqual(Level.WARN) ? MAX_LINES_PER_SECOND : MAX_INFO_LINES_PER_SECOND;
		if (this.linesInCurrentSecond >= limit) {
			return false;
		}
		this.linesInCurrentSecond++;
		return true;
	}

	private void runWriter() {
		List<ILoggingEvent> batch = new ArrayList<>();
		boolean open = true;
		while (open || !this.queue.isEmpty()) {
			open = open && awaitNextBatch();
			this.queue.drainTo(batch);
			writeBatch(batch);
			batch.clear();
		}
	}

	private boolean awaitNextBatch() {
		try {
			Thread.sleep(BATCH_MILLIS);
			return true;
		}
		catch (InterruptedException ex) {
			return false;
		}
	}

	private void writeBatch(List<ILoggingEvent> batch) {
		StringBuilder text = new StringBuilder();
		batch.forEach((event) -> this.formatter.append(event, text));
		long droppedCount = this.dropped.getAndSet(0);
		if (droppedCount > 0) {
			this.formatter.appendDropped(droppedCount, text);
		}
		if (text.length() == 0) {
			return;
		}
		try {
			this.output.write(text.toString().getBytes(StandardCharsets.UTF_8));
			this.output.flush();
		}
		catch (IOException ex) {
			addError("cannot write the log", ex);
		}
	}

}
