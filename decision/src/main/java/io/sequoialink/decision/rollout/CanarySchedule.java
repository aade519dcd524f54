package io.sequoialink.decision.rollout;

/**
 * Which share of the sessions goes to a new version at which time of its roll-out.
 * Sessions are ordered by a hash, and the share never falls, so a session moves from the
 * old version to the new one at most once. Immutable and thread-safe.
 *
 * <p>
 * During the first half the share stays small and sessions that began on the old version
 * stay there. Then it rises to the whole within the next part, so that a version that
 * turns bad under load is seen at a middling share. The rest is left for streams of the
 * old version to end.
 */
public final class CanarySchedule {

	/**
	 * Part of the permitted exposure that the first share uses, so that a late verdict
	 * still holds it.
	 */
	private static final double FIRST_OF_PERMITTED = 0.5;

	private static final double RISE_BEGINS = 0.52;

	private static final double RISE_ENDS = 0.83;

	private static final double COMPLETE = 0.9;

	private static final double SETTLED = 0.5;

	/** Answers of the new version that are enough to let more sessions go to it. */
	private static final int ENOUGH_ANSWERS = 12;

	/** Progress from which fewer answers are enough, since the traffic is thin. */
	private static final double THIN_TRAFFIC = 0.62;

	/** Share of bad answers beyond the reference's that is still put down to chance. */
	private static final double TOLERATED = 0.15;

	private final double firstShare;

	/**
	 * Creates a schedule.
	 * @param permittedShare share of the requests that a bad version may get in all
	 */
	public CanarySchedule(double permittedShare) {
		this.firstShare = Math.min(1, permittedShare * FIRST_OF_PERMITTED);
	}

	/**
	 * Returns the share of the sessions for the new version.
	 * @param progress time since the order in parts of the duration, 0 to 1 and more
	 * @return the share, from 0 to 1
	 */
	public double share(double progress) {
		if (progress < 0) {
			return 0;
		}
		if (progress <= RISE_BEGINS) {
			return this.firstShare;
		}
		double risen = (progress - RISE_BEGINS) / (RISE_ENDS - RISE_BEGINS);
		return Math.min(1, this.firstShare + (1 - this.firstShare) * risen);
	}

	/**
	 * Returns the progress as far as the answers allow it: the share stays small while
	 * too little is known of the version or too much of it is bad, though no verdict is
	 * reached yet.
	 * @param progress time since the order in parts of the duration
	 * @param target answers of the new version
	 * @param reference answers of the old versions
	 * @return the progress, held back before the rise if need be
	 */
	public double allowed(double progress, AnswerCounts target, AnswerCounts reference) {
		boolean enough = target.answers() >= ENOUGH_ANSWERS || progress >= THIN_TRAFFIC;
		boolean sound = target.badShare() <= reference.badShare() + TOLERATED;
		return (enough && sound) ? progress : Math.min(progress, RISE_BEGINS);
	}

	/**
	 * Returns whether sessions of the old version stay with it.
	 * @param progress time since the order in parts of the duration
	 * @return whether no session may move yet
	 */
	public boolean sessionsStay(double progress) {
		return progress <= SETTLED;
	}

	/**
	 * Returns whether the old version may be stopped.
	 * @param progress time since the order in parts of the duration
	 * @return whether all sessions have moved and long answers have had time to end
	 */
	public boolean mayComplete(double progress) {
		return progress >= COMPLETE;
	}

}
