package io.sequoialink.gateway.place;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * How long answers usually take, to tell those that are several times slower. Confined to
 * the event loop.
 */
public final class UsualPace {

	private static final double WEIGHT = 0.05;

	/** How many times the usual time counts as slow. */
	private static final double SLOW_TIMES = 5;

	/** Answers before which nothing counts as slow. */
	private static final int MIN_ANSWERS = 6;

	private static final double MIN_MILLIS = 0.1;

	private final Map<String, Mean> means = new HashMap<>();

	/**
	 * Returns whether a time is several times the usual.
	 * @param kind what kind of time it is
	 * @param millis the time in milliseconds
	 * @return whether it is slow; never before enough is known
	 */
	public boolean slow(String kind, double millis) {
		Mean mean = this.means.get(kind);
		return mean != null && mean.count >= MIN_ANSWERS && millis > SLOW_TIMES * mean.millis();
	}

	/**
	 * Returns from which time on an answer is slow.
	 * @param kind what kind of time it is
	 * @return milliseconds, empty before enough is known
	 */
	public OptionalDouble slowFrom(String kind) {
		OptionalDouble usual = usual(kind);
		return usual.isPresent() ? OptionalDouble.of(SLOW_TIMES * usual.getAsDouble()) : usual;
	}

	/**
	 * Returns the usual time.
	 * @param kind what kind of time it is
	 * @return milliseconds, empty before enough is known
	 */
	public OptionalDouble usual(String kind) {
		Mean mean = this.means.get(kind);
		return (mean != null && mean.count >= MIN_ANSWERS) ? OptionalDouble.of(mean.millis()) : OptionalDouble.empty();
	}

	/**
	 * Learns from an answer.
	 * @param kind what kind of time it is
	 * @param millis the time in milliseconds
	 */
	public void observe(String kind, double millis) {
		Mean mean = this.means.computeIfAbsent(kind, (name) -> new Mean());
		mean.count++;
		mean.log += Math.max(WEIGHT, 1.0 / mean.count) * (Math.log(Math.max(MIN_MILLIS, millis)) - mean.log);
	}

	/**
	 * A geometric mean that follows slow changes; a few very long times hardly move it.
	 * Confined to its owner.
	 */
	private static final class Mean {

		private long count;

		private double log;

		private double millis() {
			return Math.exp(this.log);
		}

	}

}
