package io.sequoialink.decision.rollout;

/**
 * Share of the sessions that a new version receives over the course of its roll-out.
 * Sessions are ordered by a hash and the share never decreases, so a session moves from
 * the old version to the new one at most once. Immutable and thread-safe.
 *
 * <p>
 * With even traffic, the new version receives no more than the permitted share of the
 * requests between the operator's roll-out order and its deadline, whatever its answers
 * are and even if no decision is ever made. A version that becomes bad only after its
 * completion, or in a way that no host notices, therefore reaches no more requests than
 * that. For this reason the share is small for most of the duration, and all sessions
 * move late and within a short time (the ramp). Sessions that began on the old version
 * stay there during the first half.
 */
public final class CanarySchedule {

	/**
	 * Fraction of the permitted exposure (share of all requests that the new version may
	 * receive) that the schedule uses. The rest is a reserve for traffic that grows just
	 * when the new version receives all of it, and for sessions that send more requests
	 * than others.
	 */
	private static final double PLANNED_FRACTION = 0.8;

	/** Initial share of the sessions, as a fraction of the permitted share. */
	private static final double FIRST_SHARE_FRACTION = 0.25;

	/**
	 * Maximum length of the ramp to all sessions, as a fraction of the duration. The ramp
	 * is gradual so that new servers do not have to process all prompts at once.
	 */
	private static final double MAX_RAMP = 0.03;

	/** Maximum length of the ramp, as a fraction of the planned exposure. */
	private static final double RAMP_FRACTION = 0.25;

	/**
	 * Point between the end of the ramp and the deadline at which the old version may be
	 * stopped, as a fraction of that time. Before it, long answers of the old version may
	 * end; after it, the completion must be written before the deadline.
	 */
	private static final double COMPLETION_FRACTION = 0.55;

	/**
	 * Point between the end of the ramp and the deadline at which all requests without
	 * sessions move, as a fraction of that time.
	 */
	private static final double SHORT_ANSWERS_FRACTION = 0.08;

	/**
	 * Time reserved before the deadline for writing the completion, in milliseconds; less
	 * if the ramp ends later.
	 */
	private static final double COMPLETION_WRITE_MILLIS = 800;

	/**
	 * Progress up to which sessions stay on the old version; also the earliest start of
	 * the ramp.
	 */
	private static final double SESSIONS_STAY_UNTIL = 0.5;

	/** Number of the new version's answers that is enough to start the ramp. */
	private static final int MIN_ANSWERS_FOR_RAMP = 12;

	/**
	 * Point between the start of the ramp and the deadline from which fewer answers are
	 * enough, as a fraction of that time: the traffic is then evidently low.
	 */
	private static final double LOW_TRAFFIC_FRACTION = 0.25;

	/**
	 * Fraction of the requests beyond the permitted share that the load stage uses. The
	 * rest is a reserve, because few requests vary much.
	 */
	private static final double PLANNED_EXTRA_FRACTION = 0.75;

	/**
	 * Minimum length of the load stage, as a fraction of the duration. Short, so that the
	 * few requests that it may use make a high load.
	 */
	private static final double MIN_LOAD_STAGE = 0.15;

	/** Maximum share of the requests without sessions in the load stage. */
	private static final double MAX_LOAD_STAGE_SHARE = 0.75;

	/**
	 * Part of the new version's servers that the load stage uses, relative to its share
	 * of the requests: each of them bears two to three times what it will usually bear
	 * after the roll-out, as in a peak of the traffic.
	 */
	private static final double LOAD_STAGE_SERVERS = 0.22;

	/**
	 * The same from the start of the ramp until the new version is known to be good:
	 * twice its usual load.
	 */
	private static final double RAMP_SERVERS = 0.33;

	private final double firstShare;

	private final double rampStart;

	private final double rampLength;

	private final double shortAnswersMove;

	private final double completionProgress;

	/**
	 * Creates a schedule.
	 * @param permittedShare share of all requests during the roll-out that a bad version
	 * may receive, 0 to 1
	 * @param durationMillis time from the operator's roll-out order to its deadline, in
	 * milliseconds
	 */
	public CanarySchedule(double permittedShare, long durationMillis) {
		this.firstShare = Math.min(1, permittedShare * FIRST_SHARE_FRACTION);
		double planned = Math.min(1, permittedShare * PLANNED_FRACTION);
		this.rampLength = Math.min(MAX_RAMP, planned * RAMP_FRACTION);
		this.rampStart = Math.max(SESSIONS_STAY_UNTIL, rampMiddle(planned, this.firstShare) - this.rampLength / 2);
		double rampEnd = this.rampStart + this.rampLength;
		this.shortAnswersMove = rampEnd + (1 - rampEnd) * SHORT_ANSWERS_FRACTION;
		double longAnswersEnded = rampEnd + (1 - rampEnd) * COMPLETION_FRACTION;
		double latestStart = 1 - COMPLETION_WRITE_MILLIS / Math.max(1, durationMillis);
		this.completionProgress = Math.max(rampEnd, Math.min(longAnswersEnded, latestStart));
	}

	// Solves for the progress at which the first share before it and all sessions
	// after it add up to the planned exposure.
	private static double rampMiddle(double planned, double firstShare) {
		return (firstShare < 1) ? (1 - planned) / (1 - firstShare) : 0;
	}

	/**
	 * Returns the share of the sessions for the new version.
	 * @param progress elapsed fraction of the duration; may exceed 1
	 * @return the share, 0 to 1
	 */
	public double share(double progress) {
		if (progress < 0) {
			return 0;
		}
		double ramped = Math.max(0, progress - this.rampStart) / this.rampLength;
		return Math.min(1, this.firstShare + (1 - this.firstShare) * ramped);
	}

	/**
	 * Returns the share of the requests without sessions for the new version. Before all
	 * of these move there is a stage in which it receives more of them, on few servers,
	 * so that a fault that shows only under load appears before the roll-out can
	 * complete. They move later than sessions and at once, as their answers are short;
	 * the load stage uses also what that saves.
	 * @param progress elapsed fraction of the duration; may exceed 1
	 * @param extraRequests number of requests that the load stage may use beyond the
	 * permitted share, as a fraction of all requests during the roll-out; 0 for the share
	 * of the sessions
	 * @return the share, 0 to 1
	 */
	public double shareWithoutSession(double progress, double extraRequests) {
		if (extraRequests <= 0 || progress < loadStageStart(extraRequests)) {
			return share(progress);
		}
		return (progress < this.shortAnswersMove) ? loadStageShare(extraRequests) : 1;
	}

	/**
	 * Returns the part of the new version's servers that receive requests without
	 * sessions while it is not known yet to be good. Each bears more than it will usually
	 * bear after the roll-out.
	 * @param progress elapsed fraction of the duration; may exceed 1
	 * @param extraRequests number of requests that the load stage may use beyond the
	 * permitted share, as a fraction of all requests during the roll-out
	 * @return the part, 0 to 1
	 */
	public double serverShareWithoutSession(double progress, double extraRequests) {
		boolean allMoved = extraRequests <= 0 || progress >= this.shortAnswersMove;
		double relative = allMoved ? RAMP_SERVERS : LOAD_STAGE_SERVERS;
		return Math.max(this.firstShare, relative * shareWithoutSession(progress, extraRequests));
	}

	private double loadStageStart(double extraRequests) {
		return this.shortAnswersMove - loadStageLength(extraRequests);
	}

	private double loadStageLength(double extraRequests) {
		double atHighestShare = loadStageRequests(extraRequests)
				/ Math.max(0.01, MAX_LOAD_STAGE_SHARE - this.firstShare);
		return Math.min(this.shortAnswersMove - SESSIONS_STAY_UNTIL, Math.max(MIN_LOAD_STAGE, atHighestShare));
	}

	private double loadStageShare(double extraRequests) {
		return Math.min(1, this.firstShare + loadStageRequests(extraRequests) / loadStageLength(extraRequests));
	}

	private double loadStageRequests(double extraRequests) {
		double rampMiddle = this.rampStart + this.rampLength / 2;
		return extraRequests + (1 - this.firstShare) * (this.shortAnswersMove - rampMiddle);
	}

	/**
	 * Returns the part of additional requests that the load stage uses. The rest is a
	 * reserve for traffic that grows meanwhile.
	 * @param permitted number of requests that a bad version may receive beyond the
	 * permitted share
	 * @return number of requests
	 */
	public static double plannedExtraRequests(double permitted) {
		return PLANNED_EXTRA_FRACTION * permitted;
	}

	/**
	 * Holds the progress at the start of the ramp while the new version's answers are
	 * probably worse, even though the roll-out is not decided yet. Holds it there also
	 * while too few of these answers are known, but only until
	 * {@link #LOW_TRAFFIC_FRACTION} of the time from the start of the ramp to the
	 * deadline has elapsed.
	 * @param progress elapsed fraction of the duration
	 * @param answers number of the new version's answers
	 * @param probablyWorse whether the answers are probably worse than the reference
	 * @return the progress, at most the start of the ramp if limited
	 */
	public double limitProgress(double progress, long answers, boolean probablyWorse) {
		double lowTrafficFrom = this.rampStart + (1 - this.rampStart) * LOW_TRAFFIC_FRACTION;
		boolean enough = answers >= MIN_ANSWERS_FOR_RAMP || progress >= lowTrafficFrom;
		return (enough && !probablyWorse) ? progress : Math.min(progress, this.rampStart);
	}

	/**
	 * Returns whether sessions that began on the old version stay there.
	 * @param progress elapsed fraction of the duration
	 * @return whether no such session may move yet
	 */
	public boolean sessionsStayOnOldVersion(double progress) {
		return progress <= SESSIONS_STAY_UNTIL;
	}

	/**
	 * Returns whether the old version may be stopped.
	 * @param progress elapsed fraction of the duration
	 * @return whether all sessions have moved and long answers have had time to end
	 */
	public boolean mayComplete(double progress) {
		return progress >= this.completionProgress;
	}

}
