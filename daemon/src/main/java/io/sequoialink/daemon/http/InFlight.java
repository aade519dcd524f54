package io.sequoialink.daemon.http;

import java.time.Duration;

/**
 * Counts the requests in progress and holds back new ones once the host is draining.
 * Thread-safe: all state is guarded by this object.
 */
public final class InFlight {

	private final int limit;

	private int count;

	private boolean draining;

	public InFlight(int limit) {
		this.limit = limit;
	}

	/**
	 * Enters a request, which must leave once.
	 * @return whether the request may go on
	 */
	synchronized Entry enter() {
		if (this.draining) {
			return Entry.DRAINING;
		}
		if (this.count >= this.limit) {
			return Entry.FULL;
		}
		this.count++;
		return Entry.ADMITTED;
	}

	synchronized void leave() {
		this.count--;
		notifyAll();
	}

	/**
	 * Returns whether the host refuses new requests because it is shutting down.
	 * @return whether {@link #drain} was called
	 */
	public synchronized boolean draining() {
		return this.draining;
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number
	 */
	public synchronized int count() {
		return this.count;
	}

	/**
	 * Refuses new requests from now on.
	 */
	public synchronized void drain() {
		this.draining = true;
	}

	/**
	 * Waits until no request is in progress.
	 * @param patience the longest time to wait
	 * @return the requests still in progress
	 * @throws InterruptedException if the thread was interrupted
	 */
	public synchronized int await(Duration patience) throws InterruptedException {
		long end = System.nanoTime() + patience.toNanos();
		while (this.count > 0) {
			long millis = (end - System.nanoTime()) / 1_000_000;
			if (millis <= 0) {
				break;
			}
			wait(millis);
		}
		return this.count;
	}

	/** What happened to a request that wanted to enter. */
	enum Entry {

		/** It may go on and must leave. */
		ADMITTED,

		/** Too many requests are in progress. */
		FULL,

		/** The host is shutting down. */
		DRAINING

	}

}
