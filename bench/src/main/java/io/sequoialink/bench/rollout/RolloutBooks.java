package io.sequoialink.bench.rollout;

/**
 * What one run counted. Confined to the run's thread; read after its end.
 */
final class RolloutBooks {

	int arrived;

	int ended;

	/** Requests begun on the candidate while it was bad, session turns included. */
	int exposed;

	/** Turns of sessions among them that were begun after the stop. */
	int turnsAfterStop;

	/** Credits of the fleet when the candidate turned bad. */
	int creditsAtOnset;

	/** Answers of the candidate in flight when it turned bad. */
	int inFlightAtOnset;

	long startedAt = -1;

	long onsetAt = -1;

	long stoppedAt = -1;

	long completedAt = -1;

	int brakes;

	String reason = "";

	int candidateRated;

	int candidateInFlight;

	boolean stopped() {
		return this.stoppedAt >= 0;
	}

}
