package io.sequoialink.decision.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of each service in a sliding window. A retry is any attempt of a
 * request after the first one, including hedges. Hosts need no coordination: each host
 * allows a ratio of its own requests plus its part of a fleet-wide allowance, so that the
 * limit also holds for the sum over all hosts. Not thread-safe.
 */
public final class RetryBudget {

	/**
	 * Number of slices per window. Counts cover one additional slice, the current one,
	 * which is incomplete.
	 */
	private static final int SLICES = 20;

	/**
	 * Most retries beyond the ratio that one host takes, so that a host that knows few
	 * others does not use what belongs to all.
	 */
	static final double MAX_SLACK_PER_HOST = 1;

	private double ratio;

	private double slack;

	private final long sliceNanos;

	private final Map<String, Deque<Slice>> windows = new HashMap<>();

	/**
	 * Creates a budget.
	 * @param ratio number of retries allowed per request
	 * @param slack number of retries that this host is allowed in any window in addition
	 * @param windowNanos length of the window, in nanoseconds
	 */
	public RetryBudget(double ratio, double slack, long windowNanos) {
		this.ratio = ratio;
		this.slack = slack;
		this.sliceNanos = windowNanos / SLICES;
	}

	/**
	 * Returns a host's part of the retries that all hosts together are allowed beyond the
	 * ratio.
	 * @param fleetSlack number of retries that the fleet is allowed in any window
	 * @param hosts number of hosts
	 * @return number of retries in any window, at most {@link #MAX_SLACK_PER_HOST}
	 */
	public static double slackPerHost(double fleetSlack, int hosts) {
		return Math.min(MAX_SLACK_PER_HOST, fleetSlack / hosts);
	}

	/**
	 * Changes the limits and keeps the current counts.
	 * @param newRatio number of retries allowed per request
	 * @param newSlack number of retries that this host is allowed in any window in
	 * addition
	 */
	public void setLimits(double newRatio, double newSlack) {
		this.ratio = newRatio;
		this.slack = newSlack;
	}

	/**
	 * Counts a client request.
	 * @param service name of the requested service
	 * @param nowNanos current monotonic time in nanoseconds
	 */
	public void recordRequest(String service, long nowNanos) {
		currentSlice(service, nowNanos).requests++;
	}

	/**
	 * Counts a retry if the budget allows it.
	 * @param service name of the requested service
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return whether the retry is allowed
	 */
	public boolean tryAcquireRetry(String service, long nowNanos) {
		Slice now = currentSlice(service, nowNanos);
		if (!isWithinBudget(service)) {
			return false;
		}
		now.retries++;
		return true;
	}

	/**
	 * Returns whether the budget would allow a retry, without counting one.
	 * @param service name of the requested service
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return whether a retry would be allowed
	 */
	public boolean allowsRetry(String service, long nowNanos) {
		currentSlice(service, nowNanos);
		return isWithinBudget(service);
	}

	private boolean isWithinBudget(String service) {
		int requests = 0;
		int retries = 0;
		for (Slice slice : this.windows.get(service)) {
			requests += slice.requests;
			retries += slice.retries;
		}
		return retries + 1 <= this.ratio * requests + this.slack;
	}

	private Slice currentSlice(String service, long nowNanos) {
		long index = nowNanos / this.sliceNanos;
		Deque<Slice> window = this.windows.computeIfAbsent(service, (name) -> new ArrayDeque<>());
		while (!window.isEmpty() && index - window.peekFirst().index > SLICES) {
			window.pollFirst();
		}
		if (window.isEmpty() || window.peekLast().index != index) {
			window.addLast(new Slice(index));
		}
		return window.peekLast();
	}

	/**
	 * Counts of one slice of a window. Accessed only by the enclosing budget.
	 */
	private static final class Slice {

		private final long index;

		private int requests;

		private int retries;

		private Slice(long index) {
			this.index = index;
		}

	}

}
