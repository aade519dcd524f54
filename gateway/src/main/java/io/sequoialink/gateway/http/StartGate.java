package io.sequoialink.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Holds requests that arrive before the host knows the configuration, which takes a
 * moment after a start; the clients would otherwise be sent away for nothing. Confined to
 * the event loop. Once open it stays open.
 */
public final class StartGate {

	/** Longest time that a request is held, in milliseconds. */
	static final long MAX_HOLD_MILLIS = 1000;

	/** Requests that are held at most, so that memory is bounded. */
	private static final int MAX_HELD = 512;

	private final Deque<Runnable> held = new ArrayDeque<>();

	private boolean open;

	/**
	 * Opens the gate and lets the held requests go on, oldest first.
	 */
	public void open() {
		this.open = true;
		while (!this.held.isEmpty()) {
			this.held.pollFirst().run();
		}
	}

	/**
	 * Returns whether requests need not wait.
	 * @return whether the gate is open
	 */
	boolean isOpen() {
		return this.open;
	}

	/**
	 * Holds a request.
	 * @param goOn run when the gate opens
	 * @return whether there is room for it
	 */
	boolean hold(Runnable goOn) {
		if (this.held.size() >= MAX_HELD) {
			return false;
		}
		this.held.addLast(goOn);
		return true;
	}

}
