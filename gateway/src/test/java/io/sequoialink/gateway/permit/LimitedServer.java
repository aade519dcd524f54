package io.sequoialink.gateway.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.sequoialink.decision.limits.NamedLimit;

/**
 * A simulated backend server that may name a limit, and the check of the platform's bound
 * on what it gets. Times are in milliseconds of simulated time. Confined to one thread.
 */
final class LimitedServer {

	/** The bound holds from this long after the limit was first named. */
	static final long STABLE_MILLIS = 3000;

	/** Requests count from this long after their host passed on such a response. */
	static final long TOLD_MILLIS = 500;

	static final long WINDOW_MILLIS = 4000;

	private static final double FACTOR = 1.5;

	private static final int SLACK = 5;

	private final long hash;

	private final List<Long> counted = new ArrayList<>();

	/**
	 * Beyond the platform's rule, requests of all hosts count from this long after the
	 * first response that named the limit.
	 */
	private static final long ALL_TOLD_MILLIS = 1500;

	private final Map<Integer, Long> toldAt = new HashMap<>();

	private final List<Long> arrivals = new ArrayList<>();

	private double perSecond = -1;

	private double highestPerSecond;

	private long namedAt = -1;

	private long firstToldAt = Long.MAX_VALUE;

	private int mostInWindow;

	LimitedServer(long hash) {
		this.hash = hash;
	}

	long hash() {
		return this.hash;
	}

	/**
	 * Names a limit from now on.
	 * @param newPerSecond requests per second, negative for no limit
	 */
	void setLimit(double newPerSecond, long nowMillis) {
		if (newPerSecond >= 0 && this.perSecond < 0) {
			this.namedAt = nowMillis;
			this.toldAt.clear();
			this.firstToldAt = Long.MAX_VALUE;
			this.counted.clear();
			this.highestPerSecond = 0;
		}
		this.perSecond = newPerSecond;
		this.highestPerSecond = Math.max(this.highestPerSecond, newPerSecond);
	}

	boolean limited() {
		return this.perSecond >= 0;
	}

	NamedLimit named() {
		return limited() ? NamedLimit.of(this.perSecond) : NamedLimit.ABSENT;
	}

	/**
	 * Records that a host passed on a response that names a limit.
	 */
	void told(int host, long nowMillis) {
		if (limited()) {
			this.firstToldAt = Math.min(this.firstToldAt, nowMillis);
			this.toldAt.putIfAbsent(host, nowMillis);
		}
	}

	/**
	 * Records that a request arrived.
	 * @param excused whether its host has just been disturbed
	 */
	void arrived(int host, boolean excused, long nowMillis) {
		this.arrivals.add(nowMillis);
		boolean told = nowMillis - this.toldAt.getOrDefault(host, nowMillis) >= TOLD_MILLIS
				|| nowMillis - this.firstToldAt >= ALL_TOLD_MILLIS;
		if (!limited() || excused || !told) {
			return;
		}
		this.counted.add(nowMillis);
		if (nowMillis - this.namedAt >= STABLE_MILLIS) {
			this.mostInWindow = Math.max(this.mostInWindow, inWindow(nowMillis));
		}
	}

	private int inWindow(long nowMillis) {
		int in = 0;
		for (int i = this.counted.size() - 1; i >= 0 && nowMillis - this.counted.get(i) < WINDOW_MILLIS; i--) {
			in++;
		}
		return in;
	}

	int mostInWindow() {
		return this.mostInWindow;
	}

	int allowedInWindow() {
		return (int) (FACTOR * this.highestPerSecond * WINDOW_MILLIS / 1000 + SLACK);
	}

	/**
	 * Returns the most requests of all hosts that arrived in any one second.
	 */
	int mostInSecond(long fromMillis, long toMillis) {
		List<Long> counted = this.arrivals.stream().filter((at) -> at >= fromMillis && at < toMillis).toList();
		int most = 0;
		for (int first = 0, last = 0; last < counted.size(); last++) {
			while (counted.get(last) - counted.get(first) >= 1000) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		return most;
	}

	double arrivalsPerSecond(long fromMillis, long toMillis) {
		long in = this.arrivals.stream().filter((at) -> at >= fromMillis && at < toMillis).count();
		return in * 1000.0 / (toMillis - fromMillis);
	}

}
