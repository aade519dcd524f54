package io.sequoialink.standin;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Limits how many requests an engine runs at once (its batch) and queues the others. The
 * request with the lowest priority number starts first; equal ones start in the order of
 * arrival. Thread-safe; guarded by its own monitor.
 */
final class BatchQueue {

	private final PriorityQueue<Ticket> waiting = new PriorityQueue<>(
			Comparator.comparingInt(Ticket::priority).thenComparingLong(Ticket::number));

	private final TreeMap<Long, LoadSample> loadHistory = new TreeMap<>();

	private final int capacity;

	private final int maxQueued;

	private final LongSupplier clockMillis;

	private int running;

	private long nextTicketNumber;

	BatchQueue(int capacity, int maxQueued, LongSupplier clockMillis) {
		this.capacity = capacity;
		this.maxQueued = maxQueued;
		this.clockMillis = clockMillis;
		recordLoad();
	}

	/**
	 * Waits until the request may join the batch.
	 * @param priority the priority number, 0 for the first
	 * @param timeoutMillis the longest wait in milliseconds
	 * @return {@code true} if the request holds a slot, which the caller must release;
	 * {@code false} if the queue was full or the time ran out
	 * @throws InterruptedException if the server is stopping
	 */
	synchronized boolean acquireSlot(int priority, long timeoutMillis) throws InterruptedException {
		if (this.waiting.size() >= this.maxQueued) {
			return false;
		}
		Ticket ticket = new Ticket(priority, this.nextTicketNumber++);
		this.waiting.add(ticket);
		recordLoad();
		try {
			return awaitSlot(ticket, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
		}
		finally {
			this.waiting.remove(ticket);
			recordLoad();
			notifyAll();
		}
	}

	synchronized void releaseSlot() {
		this.running--;
		recordLoad();
		notifyAll();
	}

	int capacity() {
		return this.capacity;
	}

	/**
	 * Returns the load as it was some time ago and discards older samples.
	 * @param lagMillis how long ago, in milliseconds
	 * @return the newest sample of at least that age, or the oldest sample if none is
	 * that old
	 */
	synchronized LoadSample loadBefore(long lagMillis) {
		Long sampleMillis = this.loadHistory.floorKey(this.clockMillis.getAsLong() - lagMillis);
		if (sampleMillis == null) {
			return this.loadHistory.firstEntry().getValue();
		}
		this.loadHistory.headMap(sampleMillis).clear();
		return this.loadHistory.get(sampleMillis);
	}

	private boolean awaitSlot(Ticket ticket, long deadlineNanos) throws InterruptedException {
		while (this.running >= this.capacity || this.waiting.peek() != ticket) {
			long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
			if (remainingMillis <= 0) {
				return false;
			}
			wait(remainingMillis);
		}
		this.running++;
		return true;
	}

	private void recordLoad() {
		long now = this.clockMillis.getAsLong();
		this.loadHistory.put(now, new LoadSample(this.running, this.waiting.size(), now));
	}

	/**
	 * Load of the engine at one moment. Immutable and thread-safe.
	 *
	 * @param running number of requests in the batch
	 * @param queued number of requests that wait for the batch
	 * @param atMillis time of the sample in epoch milliseconds
	 */
	record LoadSample(int running, int queued, long atMillis) {
	}

	private record Ticket(int priority, long number) {
	}

}
