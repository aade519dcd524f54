package io.sequoialink.gateway.http;

import io.sequoialink.gateway.place.EngineWork;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.place.UsualPace;

/**
 * Judges one answer by its pace, for the judgement of versions, and learns the usual pace
 * from it. Confined to the event loop. An answer is judged once: as bad as soon as that
 * is clear, which for a stream may be long before its end, else at its end.
 */
final class PaceJudgement {

	/** Events without which a stream is too short to have a pace of its own. */
	private static final int MIN_EVENTS = 12;

	/**
	 * Events after which a stream's pace is judged before its end; fewer may all fall
	 * into the reading of one long prompt.
	 */
	private static final int EARLY_EVENTS = 16;

	private final Exchange exchange;

	private final ServerState server;

	private final String kind;

	private boolean judged;

	private boolean paced;

	PaceJudgement(Exchange exchange, ServerState server, EngineWork work) {
		this.exchange = exchange;
		this.server = server;
		this.kind = work.engine() ? exchange.serviceName() + '/' + work.model() : exchange.routeName();
	}

	/**
	 * Returns the kind of times among which the answer's counts.
	 * @return service and model of an engine's answer, else the route
	 */
	String kind() {
		return this.kind;
	}

	/**
	 * The server answered with a failure.
	 */
	void failed() {
		judge(true);
	}

	/**
	 * Events of a stream have arrived.
	 * @param events number of events so far
	 * @param millis time since its head, in milliseconds
	 */
	void events(int events, double millis) {
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
		if (!this.paced && events >= MIN_EVENTS) {
			learn(millis / events);
		}
	}

	/**
	 * An answer that is no stream is complete.
	 * @param millis time since the request was sent, in milliseconds
	 */
	void ended(double millis) {
		judge(pace().slow(this.kind, millis));
		observe(millis);
	}

	// A stream says nothing of its version while the usual pace of its model is not
	// known, which would count as good otherwise.
	private void learn(double eventMillis) {
		this.paced = true;
		if (pace().usual(this.kind).isPresent()) {
			judge(pace().slow(this.kind, eventMillis));
		}
		observe(eventMillis);
	}

	private void observe(double millis) {
		if (!this.exchange.onTrial(this.server)) {
			pace().observe(this.kind, millis);
		}
	}

	private void judge(boolean bad) {
		if (!this.judged) {
			this.judged = true;
			this.exchange.judged(this.server, bad);
		}
	}

	private UsualPace pace() {
		return this.exchange.gateway().pace();
	}

}
