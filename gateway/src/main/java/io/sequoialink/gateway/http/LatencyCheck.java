package io.sequoialink.gateway.http;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

import io.sequoialink.gateway.place.LatencyBaseline;

/**
 * Compares the latency of one attempt with the baseline, which is the usual duration of
 * comparable responses, for the roll-out evaluation, and updates the baseline. Confined
 * to the event loop.
 *
 * <p>
 * Invariants: an attempt is reported at most once, as bad as soon as that is certain,
 * even before the response arrives, otherwise at its end. Waiting counts only while the
 * server is known to be alive, so a server that is down or unreachable counts neither for
 * nor against a version.
 */
final class LatencyCheck {

	/** Minimum number of events for the event rate of a stream to be compared. */
	private static final int MIN_EVENTS = 5;

	/**
	 * Minimum number of events for the event rate of a stream to update the baseline at
	 * its end.
	 */
	private static final int MIN_BASELINE_EVENTS = 12;

	/**
	 * Number of events after which the event rate of a running stream is compared; fewer
	 * may all be delayed by the engine processing one long prompt.
	 */
	private static final int EARLY_EVENTS = 16;

	/**
	 * Duration below which no stream counts as slow, in milliseconds: an engine that
	 * processes a long prompt pauses its streams for most of this time.
	 */
	private static final double MIN_SLOW_MILLIS = 1000;

	/**
	 * Time to the head below which no stream counts as slow, in milliseconds; it depends
	 * mostly on the other prompts that the engine is processing.
	 */
	private static final double MIN_SLOW_HEAD_MILLIS = 2000;

	/**
	 * A response that is not a stream counts as slow if its duration exceeds this
	 * multiple of the usual one. Lower than for streams, whose pace depends on the other
	 * prompts of their engine: a version that is four times slower must be found.
	 */
	private static final double SLOW_RESPONSE_FACTOR = 3.5;

	/**
	 * Duration below which no response counts as slow, in milliseconds: a few
	 * milliseconds may be a delay of the host itself.
	 */
	private static final double MIN_SLOW_RESPONSE_MILLIS = 20;

	/**
	 * Time after the head at which the event rate of a stream is first checked, in
	 * milliseconds: healthy engines fall behind for one or two seconds at a time.
	 */
	static final long FIRST_CHECK_MILLIS = 2500;

	/** Interval between two checks of the event rate, in milliseconds. */
	static final long CHECK_INTERVAL_MILLIS = 500;

	private final LatencyBaseline baseline;

	private final BaselineKeys keys;

	private final BooleanSupplier rolloutTarget;

	private final ResultListener listener;

	private boolean reported;

	private boolean rateRecorded;

	private int eventsSeen;

	/**
	 * Creates the check of an attempt that has not started.
	 * @param baseline latency baselines
	 * @param keys baselines that the attempt is compared with
	 * @param rolloutTarget whether the server runs the version being rolled out, whose
	 * latencies do not update the baseline
	 * @param listener receives the result
	 */
	LatencyCheck(LatencyBaseline baseline, BaselineKeys keys, BooleanSupplier rolloutTarget, ResultListener listener) {
		this.baseline = baseline;
		this.keys = keys;
		this.rolloutTarget = rolloutTarget;
		this.listener = listener;
	}

	/**
	 * Returns how long to wait for a response (for a stream: its head) before the attempt
	 * counts as slow.
	 * @return milliseconds since the attempt began, empty while the baseline is not known
	 */
	OptionalLong slowHeadMillis() {
		if (!this.keys.streaming()) {
			OptionalDouble usual = this.baseline.typicalMillis(this.keys.duration());
			return usual.isPresent() ? OptionalLong.of(Math.round(slowResponseMillis(usual.getAsDouble())))
					: OptionalLong.empty();
		}
		OptionalDouble slowFrom = this.baseline.slowThresholdMillis(this.keys.head());
		return slowFrom.isPresent()
				? OptionalLong.of(Math.round(Math.max(MIN_SLOW_HEAD_MILLIS, slowFrom.getAsDouble())))
				: OptionalLong.empty();
	}

	private static double slowResponseMillis(double usualMillis) {
		return Math.max(MIN_SLOW_RESPONSE_MILLIS, SLOW_RESPONSE_FACTOR * usualMillis);
	}

	/**
	 * Returns after which time a response (for a stream: its head) usually arrives.
	 * @return milliseconds since the attempt began, 0 while the baseline is not known
	 */
	double usualHeadMillis() {
		return this.baseline.typicalMillis(this.keys.streaming() ? this.keys.head() : this.keys.duration()).orElse(0);
	}

	/**
	 * Returns whether a running stream has too few events for its duration.
	 * @param millis time since its head, in milliseconds
	 * @return whether it is slow even if the next event arrives now
	 */
	boolean tooFewEvents(double millis) {
		return millis >= FIRST_CHECK_MILLIS && this.baseline.slow(this.keys.duration(), millis / (this.eventsSeen + 1));
	}

	/**
	 * Returns whether the result has been reported.
	 * @return whether further checks are unnecessary
	 */
	boolean reported() {
		return this.reported;
	}

	/**
	 * Reports the attempt as bad, because its response is overdue or its stream has too
	 * few events.
	 */
	void markSlow() {
		report(true);
	}

	/**
	 * Reports the attempt as bad, because the server responded with an error.
	 */
	void markFailed() {
		report(true);
	}

	/**
	 * The head of a stream has arrived.
	 * @param millis time since the attempt began, in milliseconds
	 */
	void headReceived(double millis) {
		if (millis >= MIN_SLOW_HEAD_MILLIS && this.baseline.slow(this.keys.head(), millis)) {
			report(true);
		}
		observe(this.keys.head(), millis);
	}

	/**
	 * Events of a stream have arrived.
	 * @param events number of events so far
	 * @param millis time since its head, in milliseconds
	 */
	void eventsReceived(int events, double millis) {
		this.eventsSeen = events;
		if (!this.rateRecorded && events >= EARLY_EVENTS) {
			recordRate(millis / events);
		}
	}

	/**
	 * A stream is complete.
	 * @param events number of its events
	 * @param millis time since its head, in milliseconds
	 */
	void streamEnded(int events, double millis) {
		if (!this.rateRecorded && events >= MIN_BASELINE_EVENTS) {
			recordRate(millis / events);
		}
		else if (events >= MIN_EVENTS && this.baseline.typicalMillis(this.keys.duration()).isPresent()) {
			report(millis >= MIN_SLOW_MILLIS && this.baseline.slow(this.keys.duration(), millis / events));
		}
	}

	/**
	 * A response that is not a stream is complete.
	 * @param millis time since the attempt began, in milliseconds
	 */
	void responseEnded(double millis) {
		OptionalDouble usual = this.baseline.typicalMillis(this.keys.duration());
		report(usual.isPresent() && millis > slowResponseMillis(usual.getAsDouble()));
		observe(this.keys.duration(), millis);
	}

	// While the baseline is not known, a stream is not reported at all; it would count
	// as good otherwise.
	private void recordRate(double eventMillis) {
		this.rateRecorded = true;
		if (this.baseline.typicalMillis(this.keys.duration()).isPresent()) {
			report(this.baseline.slow(this.keys.duration(), eventMillis));
		}
		observe(this.keys.duration(), eventMillis);
	}

	private void observe(String key, double millis) {
		if (!this.rolloutTarget.getAsBoolean()) {
			this.baseline.observe(key, millis);
		}
	}

	private void report(boolean bad) {
		if (!this.reported) {
			this.reported = true;
			this.listener.onResult(bad);
		}
	}

	/**
	 * Keys of the baselines that an attempt is compared with. Immutable.
	 *
	 * @param duration key for the total duration of a response, or for the time between
	 * events of a stream
	 * @param head key for the time to the head of a stream
	 * @param streaming whether the response is a stream
	 */
	record BaselineKeys(String duration, String head, boolean streaming) {
	}

	/**
	 * Receives the result of a latency check.
	 */
	@FunctionalInterface
	interface ResultListener {

		/**
		 * The attempt has been evaluated.
		 * @param bad whether it failed or was several times slower than the baseline
		 */
		void onResult(boolean bad);

	}

}
