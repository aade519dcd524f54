package io.sequoialink.standin;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The batch of one engine and the queue before it. Thread-safe; guarded by its own
 * monitor. The waiting run of the lowest priority number enters first, among equals the
 * one that came first.
 */
final class BatchQueue {

	private final PriorityQueue<Ticket> waiting = new PriorityQueue<>(
			Comparator.comparingInt(Ticket::priority).thenComparingLong(Ticket::number));

	private final TreeMap<Long, Sample> samples = new TreeMap<>();

	private final int capacity;

	private final int queueLimit;

	private final LongSupplier clockMillis;

	private int running;

	private long lastNumber;

	BatchQueue(int capacity, int queueLimit, LongSupplier clockMillis) {
		this.capacity = capacity;
		this.queueLimit = queueLimit;
		this.clockMillis = clockMillis;
		sample();
	}

	/**
	 * Waits for a place in the batch.
	 * @param priority 0 enters first
	 * @param timeoutMillis the longest wait in milliseconds
	 * @return {@code false} if the queue is full or the time ran out
	 * @throws InterruptedException if the server is stopping
	 */
	synchronized boolean enter(int priority, long timeoutMillis) throws InterruptedException {
		if (this.waiting.size() >= this.queueLimit) {
			return false;
		}
		Ticket ticket = new Ticket(priority, this.lastNumber++);
		this.waiting.add(ticket);
		sample();
		try {
			return await(ticket, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
		}
		finally {
			this.waiting.remove(ticket);
			sample();
			notifyAll();
		}
	}

	synchronized void leave() {
		this.running--;
		sample();
		notifyAll();
	}

	int capacity() {
		return this.capacity;
	}

	/**
	 * Returns the load as it was some time ago.
	 * @param lagMillis the lag in milliseconds
	 * @return the newest sample that is old enough, or the oldest
	 */
	synchronized Sample sample(long lagMillis) {
		Long at = this.samples.floorKey(this.clockMillis.getAsLong() - lagMillis);
		if (at == null) {
			return this.samples.firstEntry().getValue();
		}
		this.samples.headMap(at).clear();
		return this.samples.get(at);
	}

	private boolean await(Ticket ticket, long deadlineNanos) throws InterruptedException {
		while (this.running >= this.capacity || this.waiting.peek() != ticket) {
			long left = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
			if (left <= 0) {
				return false;
			}
			wait(left);
		}
		this.running++;
		return true;
	}

	private void sample() {
		long now = this.clockMillis.getAsLong();
		this.samples.put(now, new Sample(this.running, this.waiting.size(), now));
	}

	/**
	 * The load at one time. Immutable and thread-safe.
	 *
	 * @param running runs in the batch
	 * @param queued runs before the batch
	 * @param atMillis epoch milliseconds
	 */
	record Sample(int running, int queued, long atMillis) {
	}

	private record Ticket(int priority, long number) {
	}

}
