package io.sequoialink.decision.rollout;

/**
 * Which share of the sessions goes to a new version at which time of its roll-out.
 * Sessions are ordered by a hash, and the share never falls, so a session moves from the
 * old version to the new one at most once. Immutable and thread-safe.
 *
 * <p>
 * The new version gets no more than the permitted share of the requests between the order
 * and its deadline, whatever the answers say and though no verdict is ever reached, as
 * long as the traffic is even: a version that turns bad only after its completion, or
 * where nobody sees it, reaches no more than that. So the share is small for most of the
 * duration, and all sessions move late, within a short time. Sessions that began on the
 * old version stay there in the first half.
 */
public final class CanarySchedule {

	/**
	 * Part of the permitted exposure that is planned for; the rest is for traffic that
	 * grows just when the version gets it all, and for sessions that ask more than
	 * others.
	 */
	private static final double PLANNED = 0.8;

	/** The first share, in parts of the permitted exposure. */
	private static final double FIRST_OF_PERMITTED = 0.25;

	/**
	 * Longest rise to the whole, in parts of the duration; it takes a while so that new
	 * servers do not read all prompts at once.
	 */
	private static final double LONGEST_RISE = 0.03;

	/** Longest rise, in parts of the planned exposure. */
	private static final double RISE_OF_PLANNED = 0.25;

	/**
	 * Part of the time after the rise at which the old version may be stopped; before it
	 * long answers may end, after it the verdict must be written before the deadline.
	 */
	private static final double COMPLETE_AFTER_RISE = 0.55;

	/**
	 * Time between completion and deadline that the verdict's write may need, in
	 * milliseconds, as far as the rise leaves it.
	 */
	private static final double VERDICT_MILLIS = 800;

	private static final double SETTLED = 0.5;

	/** Answers of the new version that are enough to let more sessions go to it. */
	private static final int ENOUGH_ANSWERS = 12;

	/**
	 * Part of the time after the rise begins from which fewer answers are enough, since
	 * the traffic is thin.
	 */
	private static final double THIN_TRAFFIC = 0.25;

	private final double firstShare;

	private final double riseBegins;

	private final double riseLasts;

	private final double complete;

	/**
	 * Creates a schedule.
	 * @param permittedShare share of the requests that a bad version may get in all
	 * @param durationMillis time from the order to the deadline, in milliseconds
	 */
	public CanarySchedule(double permittedShare, long durationMillis) {
		this.firstShare = Math.min(1, permittedShare * FIRST_OF_PERMITTED);
		double planned = Math.min(1, permittedShare * PLANNED);
		this.riseLasts = Math.min(LONGEST_RISE, planned * RISE_OF_PLANNED);
		this.riseBegins = Math.max(SETTLED, middleOfRise(planned, this.firstShare) - this.riseLasts / 2);
		double riseEnds = this.riseBegins + this.riseLasts;
		double streamsEnded = riseEnds + (1 - riseEnds) * COMPLETE_AFTER_RISE;
		double inTime = 1 - VERDICT_MILLIS / Math.max(1, durationMillis);
		this.complete = Math.max(riseEnds, Math.min(streamsEnded, inTime));
	}

	// The first share until then and the whole from then on are the planned part in all.
	private static double middleOfRise(double planned, double firstShare) {
		return (firstShare < 1) ? (1 - planned) / (1 - firstShare) : 0;
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
		double risen = Math.max(0, progress - this.riseBegins) / this.riseLasts;
		return Math.min(1, this.firstShare + (1 - this.firstShare) * risen);
	}

	/**
	 * Returns the progress as far as the answers allow it: the share stays small while
	 * too little is known of the version or its answers rather speak against it, though
	 * no verdict is reached yet.
	 * @param progress time since the order in parts of the duration
	 * @param answers answers of the new version
	 * @param probablyWorse whether the answers rather speak against it
	 * @return the progress, held back before the rise if need be
	 */
	public double allowed(double progress, long answers, boolean probablyWorse) {
		double thin = this.riseBegins + (1 - this.riseBegins) * THIN_TRAFFIC;
		boolean enough = answers >= ENOUGH_ANSWERS || progress >= thin;
		return (enough && !probablyWorse) ? progress : Math.min(progress, this.riseBegins);
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
		return progress >= this.complete;
	}

}
