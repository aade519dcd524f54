package io.sequoialink.gateway.rollout;

import java.util.HashSet;
import java.util.Set;

import io.sequoialink.decision.rollout.BadAnswerTest;
import io.sequoialink.decision.rollout.CanarySchedule;
import io.sequoialink.gateway.fleet.Found;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.RolloutState;

/**
 * One roll-out as this host sees it. Confined to the event loop.
 *
 * <p>
 * Invariants: a state that ended the roll-out is never left; once evidence speaks against
 * the version, this host gives it no new work whether or not the store can be written.
 */
public final class Canary {

	/** Sessions that a host makes known at most, so that its record stays small. */
	private static final int MAX_KEPT = 200;

	/**
	 * Judged answers without which a version is not completed: of one that is bad half of
	 * the time, fewer would too often be good, and completion can't be taken back.
	 */
	static final int MIN_ANSWERS = 8;

	/**
	 * Score up to which a version is completed: above it more answers are awaited, past
	 * the deadline if need be, until they clear the version or speak against it.
	 */
	static final double MOST_DOUBT = 0.5;

	/**
	 * Parts of the duration after which doubt keeps no version undecided: what many
	 * answers can't tell from its reference is about as good.
	 */
	private static final double LONGEST_DOUBT = 2;

	private final String host;

	private final Found<RolloutOrder> order;

	private final CanarySchedule schedule;

	private final SharedEvidence evidence;

	private Judgement judgement = Judgement.NONE;

	private long began;

	private RolloutState state;

	private boolean stopped;

	private long confirmedAt;

	private final Set<Long> ownKept = new HashSet<>();

	private final Set<Long> kept = new HashSet<>();

	/**
	 * Creates the view of a roll-out.
	 * @param host name of this host
	 * @param order the operator's order
	 * @param schedule share of the sessions by time
	 * @param test test of the new version's answers
	 * @param beganNanos monotonic time at which the order was seen
	 */
	public Canary(String host, Found<RolloutOrder> order, CanarySchedule schedule, BadAnswerTest test,
			long beganNanos) {
		this.host = host;
		this.order = order;
		this.schedule = schedule;
		this.evidence = new SharedEvidence(host, test);
		this.began = beganNanos;
		this.confirmedAt = beganNanos;
	}

	/**
	 * Notes a session that is on an old version. If its turn is in the first half it
	 * stays there till its end, also on hosts that have not seen it.
	 * @param session hash of the session
	 * @param nowNanos monotonic time
	 */
	void keep(long session, long nowNanos) {
		boolean first = this.schedule.sessionsStay(allowedProgress(nowNanos));
		if (first && this.ownKept.size() < MAX_KEPT && position(session) < this.schedule.share(0)) {
			this.ownKept.add(session);
			this.kept.add(session);
		}
	}

	/**
	 * Returns how many sessions this host keeps on an old version.
	 * @return number of sessions
	 */
	int ownKept() {
		return this.ownKept.size();
	}

	/**
	 * Returns whether a host keeps a session on an old version.
	 * @param session hash of the session
	 * @return whether it is known to be there
	 */
	boolean kept(long session) {
		return this.kept.contains(session);
	}

	/**
	 * Returns the order.
	 * @return the order with its offset
	 */
	public Found<RolloutOrder> order() {
		return this.order;
	}

	/**
	 * Takes a published state.
	 * @param published the state
	 * @param ageNanos age of the order as the publisher stated it and clocks tell, so
	 * that a host which started later keeps the same time
	 * @param nowNanos monotonic time
	 */
	public void state(RolloutState published, long ageNanos, long nowNanos) {
		if (ended()) {
			return;
		}
		this.state = published;
		long longest = 2 * this.order.value().durationMillis() * 1_000_000L;
		if (ageNanos > 0 && ageNanos < longest) {
			this.began = Math.min(this.began, nowNanos - ageNanos);
		}
	}

	/**
	 * Returns whether a state was published at all.
	 * @return whether one is known
	 */
	public boolean published() {
		return this.state != null;
	}

	/**
	 * Returns whether the roll-out has ended.
	 * @return whether it is complete or rolled back
	 */
	public boolean ended() {
		return this.state == RolloutState.COMPLETED || this.state == RolloutState.ROLLED_BACK;
	}

	/**
	 * Notes that the published states are known up to a time.
	 * @param nanos monotonic time
	 */
	public void confirmed(long nanos) {
		this.confirmedAt = Math.max(this.confirmedAt, nanos);
	}

	/**
	 * Chooses the version for a request.
	 * @param pinKey hash of the session, or of the request if it belongs to none
	 * @param onOld whether the session's last request, a moment ago, went to an old
	 * version
	 * @param nowNanos monotonic time
	 * @return the group of versions
	 */
	public VersionGroup choose(long pinKey, boolean onOld, long nowNanos) {
		if (this.state == RolloutState.COMPLETED) {
			return VersionGroup.TARGET;
		}
		if (this.state == RolloutState.ROLLED_BACK || this.stopped) {
			return VersionGroup.OLD_ONLY;
		}
		double progress = allowedProgress(nowNanos);
		boolean stays = onOld && this.schedule.sessionsStay(progress);
		if (stays || position(pinKey) >= this.schedule.share(progress)) {
			return VersionGroup.OLD;
		}
		return VersionGroup.TARGET;
	}

	/**
	 * Returns the share of the sessions for the new version.
	 * @param nowNanos monotonic time
	 * @return the share, from 0 to 1
	 */
	public double share(long nowNanos) {
		return this.schedule.share(allowedProgress(nowNanos));
	}

	private double allowedProgress(long nowNanos) {
		return this.schedule.allowed(progress(nowNanos), this.judgement.answers(), this.judgement.probablyWorse());
	}

	private static double position(long pinKey) {
		long mixed = pinKey * 0x9E3779B97F4A7C15L;
		mixed ^= mixed >>> 32;
		return (mixed >>> 11 & 0xFFFFFFFFFFL) / (double) (1L << 40);
	}

	/**
	 * Returns the time since the order in parts of its duration. It stands still while
	 * the published states are not known, since a verdict may have been missed.
	 * @param nowNanos monotonic time
	 * @return the progress, 0 to 1 and more
	 */
	public double progress(long nowNanos) {
		long known = Math.min(nowNanos, this.confirmedAt + RolloutWatch.CONFIRMATION_NANOS);
		return (known - this.began) / (Math.max(1, this.order.value().durationMillis()) * 1_000_000.0);
	}

	/**
	 * Returns the time since the order.
	 * @param nowNanos monotonic time
	 * @return nanoseconds
	 */
	public long ageNanos(long nowNanos) {
		return nowNanos - this.began;
	}

	/**
	 * Returns the time until the roll-out is to have ended.
	 * @param nowNanos monotonic time
	 * @return nanoseconds, negative after the deadline
	 */
	long untilDeadlineNanos(long nowNanos) {
		return this.order.value().durationMillis() * 1_000_000L - ageNanos(nowNanos);
	}

	/**
	 * Notes an answer.
	 * @param route route of the request
	 * @param ofTarget whether the new version gave it
	 * @param bad whether it was a failure or several times slower than usual
	 * @param streamed whether it was a stream
	 * @param nowNanos monotonic time
	 */
	public void answered(String route, boolean ofTarget, boolean bad, boolean streamed, long nowNanos) {
		this.evidence.answered(route, ofTarget, bad, streamed, nowNanos);
	}

	/**
	 * Takes what a host saw. What this host published in an earlier life is added to what
	 * it sees now.
	 * @param evidence the evidence
	 */
	public void take(HostEvidence evidence) {
		this.kept.addAll(evidence.kept());
		this.evidence.take(evidence);
	}

	/**
	 * Returns what this host saw, earlier lives included, in order to publish it.
	 * @return the evidence
	 */
	public HostEvidence publish() {
		this.evidence.published();
		return ownEvidence();
	}

	/**
	 * Returns what this host saw, earlier lives included.
	 * @return the evidence
	 */
	public HostEvidence ownEvidence() {
		return new HostEvidence(this.order.value().service(), this.host, this.order.offset(), this.evidence.own(),
				this.ownKept);
	}

	/**
	 * Judges the version by what all hosts saw. What sessions are given goes by the last
	 * judgement, since it costs more than a request may.
	 * @param nowNanos monotonic time
	 * @return whether the version is to be rolled back: its answers speak against it, or
	 * they probably do when the old versions could be stopped, so that no version is left
	 * undecided
	 */
	boolean judge(long nowNanos) {
		this.evidence.settle(nowNanos);
		this.judgement = this.evidence.judge();
		boolean due = this.schedule.mayComplete(progress(nowNanos));
		return this.judgement.worse() || (due && this.judgement.probablyWorse());
	}

	/**
	 * Returns the last judgement.
	 * @return what the answers said then
	 */
	Judgement judgement() {
		return this.judgement;
	}

	/**
	 * Stops this host from giving the version new work.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Returns whether this host has stopped the version by itself.
	 * @return whether evidence spoke against it
	 */
	public boolean stopped() {
		return this.stopped;
	}

	/**
	 * Returns whether the old versions may be stopped.
	 * @param nowNanos monotonic time
	 * @return whether it is time, enough answers of the new version were judged and they
	 * leave little doubt
	 */
	public boolean mayComplete(long nowNanos) {
		boolean doubtful = this.judgement.score() > MOST_DOUBT && progress(nowNanos) < LONGEST_DOUBT;
		boolean known = this.judgement.answers() >= MIN_ANSWERS && !doubtful;
		return known && !this.stopped && !ended() && this.schedule.mayComplete(allowedProgress(nowNanos));
	}

}
