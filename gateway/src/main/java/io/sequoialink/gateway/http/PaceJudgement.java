package io.sequoialink.gateway.http;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

import io.sequoialink.gateway.place.UsualPace;

/**
 * Judges one send by its pace, for the judgement of versions, and learns the usual pace
 * from it. Confined to the event loop.
 *
 * <p>
 * Invariants: a send is judged once, as bad as soon as that is clear, be its answer still
 * awaited, else at its end; a wait says something only while the server is heard of, so
 * one that is dead or cut off speaks for or against no version.
 */
final class PaceJudgement {

	/** Events without which a stream is too short to have a pace of its own. */
	private static final int MIN_EVENTS = 5;

	/** Events of a stream from which the usual pace is learnt at its end. */
	private static final int MIN_LEARNT_EVENTS = 12;

	/**
	 * Events after which a stream's pace is judged before its end; fewer may all fall
	 * into the reading of one long prompt.
	 */
	private static final int EARLY_EVENTS = 16;

	/**
	 * Time below which nothing about a stream is slow, whatever is usual, in
	 * milliseconds: a server that reads a long prompt pauses for most of it.
	 */
	private static final double MIN_SLOW_MILLIS = 1000;

	/**
	 * Time below which no beginning of a stream is slow, in milliseconds: it depends most
	 * on what else the engine reads.
	 */
	private static final double MIN_SLOW_HEAD_MILLIS = 2000;

	/**
	 * Time since its head after which a stream is looked at while it goes on, in
	 * milliseconds: sound engines fall behind for one or two seconds at a time.
	 */
	static final long FIRST_LOOK_MILLIS = 2500;

	/** Time between two looks, in milliseconds. */
	static final long NEXT_LOOK_MILLIS = 500;

	private final UsualPace pace;

	private final Kinds kinds;

	private final BooleanSupplier onTrial;

	private final Verdict verdict;

	private boolean judged;

	private boolean paced;

	private int eventsSeen;

	/**
	 * Creates the judgement of a send that is not made yet.
	 * @param pace usual pace
	 * @param kinds among which times the send's count
	 * @param onTrial whether the server's version is on trial: it does not tell what is
	 * usual
	 * @param verdict takes the verdict
	 */
	PaceJudgement(UsualPace pace, Kinds kinds, BooleanSupplier onTrial, Verdict verdict) {
		this.pace = pace;
		this.kinds = kinds;
		this.onTrial = onTrial;
		this.verdict = verdict;
	}

	/**
	 * Returns after which time without an answer the send is slow.
	 * @return milliseconds since the send, empty while too little is known
	 */
	OptionalLong slowWithoutHeadMillis() {
		String kind = this.kinds.streaming() ? this.kinds.beginning() : this.kinds.whole();
		OptionalDouble slowFrom = this.pace.slowFrom(kind);
		if (slowFrom.isEmpty()) {
			return OptionalLong.empty();
		}
		double least = this.kinds.streaming() ? MIN_SLOW_HEAD_MILLIS : 0;
		return OptionalLong.of(Math.round(Math.max(least, slowFrom.getAsDouble())));
	}

	/**
	 * Returns whether a stream that goes on has too few events for its time.
	 * @param millis time since its head, in milliseconds
	 * @return whether it is slow even if the next event comes now
	 */
	boolean tooFewEvents(double millis) {
		return millis >= FIRST_LOOK_MILLIS && this.pace.slow(this.kinds.whole(), millis / (this.eventsSeen + 1));
	}

	/**
	 * Returns whether the send was judged.
	 * @return whether nothing more is to be looked at
	 */
	boolean judged() {
		return this.judged;
	}

	/**
	 * The answer was awaited too long, or its stream has too few events by now.
	 */
	void slow() {
		judge(true);
	}

	/**
	 * The server answered with a failure.
	 */
	void failed() {
		judge(true);
	}

	/**
	 * The head of a stream has arrived.
	 * @param millis time since the request was sent, in milliseconds
	 */
	void head(double millis) {
		if (millis >= MIN_SLOW_HEAD_MILLIS && this.pace.slow(this.kinds.beginning(), millis)) {
			judge(true);
		}
		observe(this.kinds.beginning(), millis);
	}

	/**
	 * Events of a stream have arrived.
	 * @param events number of events so far
	 * @param millis time since its head, in milliseconds
	 */
	void events(int events, double millis) {
		this.eventsSeen = events;
		if (!this.paced && events >= EARLY_EVENTS) {
			learn(millis / events);
		}
	}

	/**
	 * A stream is complete.
	 * @param events number of its events
	 * @param millis time since its head, in milliseconds
	 */
	void streamEnded(int events, double millis) {
		if (!this.paced && events >= MIN_LEARNT_EVENTS) {
			learn(millis / events);
		}
		else if (events >= MIN_EVENTS && this.pace.usual(this.kinds.whole()).isPresent()) {
			judge(millis >= MIN_SLOW_MILLIS && this.pace.slow(this.kinds.whole(), millis / events));
		}
	}

	/**
	 * An answer that is no stream is complete.
	 * @param millis time since the request was sent, in milliseconds
	 */
	void ended(double millis) {
		judge(this.pace.slow(this.kinds.whole(), millis));
		observe(this.kinds.whole(), millis);
	}

	// A stream says nothing of its version while the usual pace of its model is not
	// known, which would count as good otherwise.
	private void learn(double eventMillis) {
		this.paced = true;
		if (this.pace.usual(this.kinds.whole()).isPresent()) {
			judge(this.pace.slow(this.kinds.whole(), eventMillis));
		}
		observe(this.kinds.whole(), eventMillis);
	}

	private void observe(String kind, double millis) {
		if (!this.onTrial.getAsBoolean()) {
			this.pace.observe(kind, millis);
		}
	}

	private void judge(boolean bad) {
		if (!this.judged) {
			this.judged = true;
			this.verdict.judged(bad);
		}
	}

	/**
	 * Among which times those of a send count. Immutable.
	 *
	 * @param whole kind of its whole time, or of the time between its events
	 * @param beginning kind of the time until a stream begins
	 * @param streaming whether the answer is a stream
	 */
	record Kinds(String whole, String beginning, boolean streaming) {
	}

	/**
	 * Takes what a send says of its server's version.
	 */
	@FunctionalInterface
	interface Verdict {

		/**
		 * The send was judged.
		 * @param bad whether it failed or was several times slower than usual
		 */
		void judged(boolean bad);

	}

}
