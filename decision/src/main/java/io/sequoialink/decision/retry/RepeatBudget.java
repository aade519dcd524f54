package io.sequoialink.decision.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the sends beyond the first of each request, by service, over a sliding window.
 * Hosts need no messages: each takes a share of its own requests and a part of the common
 * slack, so the sum over the hosts holds. Not safe for threads.
 */
public final class RepeatBudget {

	/** Slices of a window; a window counts one slice more than its length. */
	private static final int SLICES = 20;

	private double ratio;

	private double slack;

	private final long sliceNanos;

	private final Map<String, Deque<Slice>> slices = new HashMap<>();

	/**
	 * Creates a budget.
	 * @param ratio repeats allowed for each request
	 * @param slack repeats of this host that are allowed besides, in any window
	 * @param windowNanos length of the window in nanoseconds
	 */
	public RepeatBudget(double ratio, double slack, long windowNanos) {
		this.ratio = ratio;
		this.slack = slack;
		this.sliceNanos = windowNanos / SLICES;
	}

	/**
	 * Takes other bounds; what was counted stays.
	 * @param newRatio repeats allowed for each request
	 * @param newSlack repeats of this host that are allowed besides, in any window
	 */
	public void limits(double newRatio, double newSlack) {
		this.ratio = newRatio;
		this.slack = newSlack;
	}

	/**
	 * Counts a request of a client.
	 * @param service service that it is for
	 * @param nowNanos monotonic time
	 */
	public void request(String service, long nowNanos) {
		current(service, nowNanos).requests++;
	}

	/**
	 * Counts a repeat, if the budget has room for it.
	 * @param service service that it would be sent to
	 * @param nowNanos monotonic time
	 * @return whether the repeat is allowed
	 */
	public boolean tryRepeat(String service, long nowNanos) {
		Slice now = current(service, nowNanos);
		if (!room(service)) {
			return false;
		}
		now.repeats++;
		return true;
	}

	/**
	 * Returns whether a repeat would be allowed, without counting it.
	 * @param service service that it would be sent to
	 * @param nowNanos monotonic time
	 * @return whether there is room
	 */
	public boolean hasRoom(String service, long nowNanos) {
		current(service, nowNanos);
		return room(service);
	}

	private boolean room(String service) {
		int requests = 0;
		int repeats = 0;
		for (Slice slice : this.slices.get(service)) {
			requests += slice.requests;
			repeats += slice.repeats;
		}
		return repeats + 1 <= this.ratio * requests + this.slack;
	}

	private Slice current(String service, long nowNanos) {
		long index = nowNanos / this.sliceNanos;
		Deque<Slice> window = this.slices.computeIfAbsent(service, (name) -> new ArrayDeque<>());
		while (!window.isEmpty() && index - window.peekFirst().index > SLICES) {
			window.pollFirst();
		}
		if (window.isEmpty() || window.peekLast().index != index) {
			window.addLast(new Slice(index));
		}
		return window.peekLast();
	}

	/**
	 * Counts of a part of the window. Confined to its budget.
	 */
	private static final class Slice {

		private final long index;

		private int requests;

		private int repeats;

		private Slice(long index) {
			this.index = index;
		}

	}

}
