package io.sequoialink.soak;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Whether a simulated server is brittle, and when it falls over: it turns away more
 * requests in a second than it named, from {@link Bounds#STABILIZATION_MILLIS} after it
 * first named them. Thread-safe.
 */
final class Brittleness {

	private static final int NOT_BRITTLE = -1;

	private final Deque<Long> turnedAway = new ArrayDeque<>();

	private int rejections = NOT_BRITTLE;

	private long sinceNanos;

	synchronized void begin(int bearable, long nowNanos) {
		this.rejections = bearable;
		this.sinceNanos = nowNanos;
		this.turnedAway.clear();
	}

	synchronized void end() {
		this.rejections = NOT_BRITTLE;
	}

	/**
	 * Returns the header lines of an answer.
	 * @return the lines, empty unless the server is brittle
	 */
	synchronized String header() {
		return (this.rejections == NOT_BRITTLE) ? "" : HeaderNames.SERVER_BRITTLE + ": " + this.rejections + "\r\n";
	}

	/**
	 * A request was turned away for want of room.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return whether the server falls over
	 */
	synchronized boolean turnAway(long nowNanos) {
		boolean strict = this.rejections != NOT_BRITTLE
				&& nowNanos - this.sinceNanos > Bounds.millisToNanos(Bounds.STABILIZATION_MILLIS);
		if (!strict) {
			return false;
		}
		this.turnedAway.addLast(nowNanos);
		this.turnedAway.removeIf((at) -> nowNanos - at > Bounds.millisToNanos(1000));
		return this.turnedAway.size() > this.rejections;
	}

}
