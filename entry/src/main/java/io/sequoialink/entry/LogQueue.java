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
 * Takes log events without ever waiting and writes them in batches from a thread of its
 * own. Safe for any thread.
 *
 * <p>
 * Bounded: beyond {@link #MAX_INFO_A_SECOND} lines a second, lines about what went well
 * are dropped, beyond {@link #MAX_A_SECOND} all are, and so is what the queue has no room
 * for while the reader of the output is slow or stuck. Dropped lines are counted, and the
 * count is written as a line as soon as one can be.
 */
final class LogQueue extends UnsynchronizedAppenderBase<ILoggingEvent> {

	/** Lines of level info or below that are written in a second. */
	static final int MAX_INFO_A_SECOND = 150;

	/** Lines of any level that are written in a second. */
	static final int MAX_A_SECOND = 400;

	static final int QUEUE_LINES = 2048;

	/**
	 * Lines are gathered for so long, since each write costs a wake-up and a call, in
	 * milliseconds.
	 */
	private static final long BATCH_MILLIS = 100;

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final BlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(QUEUE_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final OutputStream output;

	private final JsonLine lines;

	private final LongSupplier clock;

	private final Thread writer = new Thread(this::write, "log");

	private long second;

	private int inSecond;

	/**
	 * Creates a queue whose writer does not run yet.
	 * @param output where lines go; may block
	 * @param lines form of the lines
	 * @param clock monotonic time in nanoseconds
	 */
	LogQueue(OutputStream output, JsonLine lines, LongSupplier clock) {
		this.output = output;
		this.lines = lines;
		this.clock = clock;
		this.writer.setDaemon(true);
	}

	@Override
	public void start() {
		super.start();
		this.writer.start();
	}

	/**
	 * Writes what is queued; waits no longer than a stated time.
	 * @param millis longest time to wait
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
		if (!withinRate(event.getLevel()) || !this.queue.offer(event)) {
			this.dropped.incrementAndGet();
		}
	}

	private synchronized boolean withinRate(Level level) {
		long now = this.clock.getAsLong() / SECOND_NANOS;
		if (now != this.second) {
			this.second = now;
			this.inSecond = 0;
		}
		int most = level.isGreaterOrEqual(Level.WARN) ? MAX_A_SECOND : MAX_INFO_A_SECOND;
		if (this.inSecond >= most) {
			return false;
		}
		this.inSecond++;
		return true;
	}

	private void write() {
		List<ILoggingEvent> batch = new ArrayList<>();
		boolean open = true;
		while (open || !this.queue.isEmpty()) {
			open = open && pause();
			this.queue.drainTo(batch);
			writeBatch(batch);
			batch.clear();
		}
	}

	private boolean pause() {
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
		batch.forEach((event) -> this.lines.append(event, text));
		long lost = this.dropped.getAndSet(0);
		if (lost > 0) {
			this.lines.appendDropped(lost, text);
		}
		if (text.length() == 0) {
			return;
		}
		try {
			this.output.write(text.toString().getBytes(StandardCharsets.UTF_8));
			this.output.flush();
		}
		catch (IOException ex) {
			addError("the log can't be written", ex);
		}
	}

}
