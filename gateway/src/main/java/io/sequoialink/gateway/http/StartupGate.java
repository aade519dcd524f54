package io.sequoialink.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Queues requests that arrive before the host has read its configuration, which takes a
 * moment after a start, instead of rejecting them. Confined to the event loop. Once open
 * it stays open.
 */
public final class StartupGate {

	/** Maximum time that a request is queued, in milliseconds. */
	static final long MAX_WAIT_MILLIS = 1000;

	/** Maximum number of queued requests, which bounds the memory. */
	private static final int MAX_QUEUED = 512;

	private final Deque<Runnable> queued = new ArrayDeque<>();

	private boolean open;

	/**
	 * Opens the gate and resumes the queued requests in order of arrival.
	 */
	public void open() {
		this.open = true;
		while (!this.queued.isEmpty()) {
			this.queued.pollFirst().run();
		}
	}

	/**
	 * Returns whether the configuration has been read.
	 * @return whether requests need not be queued
	 */
	boolean isOpen() {
		return this.open;
	}

	/**
	 * Queues a request.
	 * @param resume runs when the gate opens
	 * @return whether there is room for it
	 */
	boolean enqueue(Runnable resume) {
		if (this.queued.size() >= MAX_QUEUED) {
			return false;
		}
		this.queued.addLast(resume);
		return true;
	}

}
