package io.sequoialink.gateway.rollout;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

import io.sequoialink.decision.rollout.BadAnswerTest;
import io.sequoialink.decision.rollout.CanarySchedule;
import io.sequoialink.gateway.fleet.PositionedValue;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.RolloutState;

/**
 * One roll-out of a service as seen by this host. Confined to the event loop.
 *
 * <p>
 * Invariants: a final state (completed or rolled back) never changes; once the answer
 * counts show that the new version is worse, this host sends it no new requests, even if
 * the store cannot be written.
 */
public final class Canary {

	/**
	 * Maximum number of pinned sessions in this host's report; bounds the size of its
	 * record.
	 */
	private static final int MAX_PINNED_SESSIONS = 200;

	/**
	 * Minimum number of compared answers of the new version before the roll-out
	 * completes. With fewer, a version whose answers are bad half of the time would too
	 * often look good, and completion cannot be undone.
	 */
	static final int MIN_ANSWERS_TO_COMPLETE = 8;

	/**
	 * Maximum score (strength of evidence that the new version is worse) at which the
	 * roll-out completes. Above it, or while the answers do not show that the version is
	 * not clearly worse, the roll-out waits for more answers, past the deadline if
	 * necessary, until they decide. Its old servers run until then, so it can still be
	 * rolled back.
	 */
	static final double MAX_SCORE_TO_COMPLETE = 0.5;

	/**
	 * Progress, in multiples of the roll-out's duration, from which a score above
	 * {@link #MAX_SCORE_TO_COMPLETE}, or missing evidence, no longer prevents completion:
	 * a version that so many answers cannot distinguish from the old ones is about as
	 * good.
	 */
	private static final double MAX_UNDECIDED_PROGRESS = 2;

	/**
	 * Number of answers that must be known for that if evidence is asked for; twice as
	 * many as a good version usually needs.
	 */
	private static final long MANY_ANSWERS = 60;

	/**
	 * Gap between two reads of the published states after which the other hosts may not
	 * have published yet what they have seen meanwhile, in nanoseconds. Longer than the
	 * usual pause between two reads in a large fleet.
	 */
	private static final long READ_GAP_NANOS = 2_000_000_000L;

	/**
	 * Time after such a gap in which the other hosts publish their reports and this one
	 * reads them, in nanoseconds.
	 */
	private static final long REPORTS_SETTLE_NANOS = 1_500_000_000L;

	/**
	 * Part of the duration after which a host knows its own rate of requests well enough
	 * for the load stage.
	 */
	private static final double MIN_OBSERVED_PROGRESS = 0.1;

	private final String host;

	private PositionedValue<RolloutOrder> order;

	private final Set<Long> orderOffsets = new HashSet<>();

	private final CanarySchedule schedule;

	private final FleetAnswerCounts answerCounts;

	private VersionComparison lastComparison = VersionComparison.NONE;

	private long startedAtNanos;

	private RolloutState state;

	private boolean stopped;

	private long statesReadAtNanos;

	private long reportsSettledAtNanos;

	private final long createdAtNanos;

	private final DoubleSupplier extraRequests;

	private long ownAnswers;

	private final Set<Long> sessionsPinnedHere = new HashSet<>();

	private final Set<Long> pinnedSessions = new HashSet<>();

	/**
	 * Creates a roll-out of which this host has not read any published state yet.
	 * @param host name of this host
	 * @param order the operator's order to roll out a version, with the offset of its
	 * record in the store
	 * @param schedule share of the sessions for the new version over time
	 * @param test statistical test of the new version's answers
	 * @param extraRequests number of requests that this host may send to the new version
	 * beyond the schedule's share, in its load stage
	 * @param startedAtNanos monotonic time at which this host read the order
	 */
	public Canary(String host, PositionedValue<RolloutOrder> order, CanarySchedule schedule, BadAnswerTest test,
			DoubleSupplier extraRequests, long startedAtNanos) {
		this.host = host;
		this.extraRequests = extraRequests;
		this.createdAtNanos = startedAtNanos;
		this.order = order;
		this.orderOffsets.add(order.offset());
		this.schedule = schedule;
		this.answerCounts = new FleetAnswerCounts(host, test);
		this.startedAtNanos = startedAtNanos;
		this.statesReadAtNanos = startedAtNanos;
		this.reportsSettledAtNanos = startedAtNanos;
	}

	/**
	 * Records that a session uses an old version. In the first half of the roll-out, a
	 * session is pinned if its hash is in the share of the sessions that goes to the new
	 * version from the beginning: it stays on an old version until it ends, also on hosts
	 * that have received no request of it.
	 * @param session hash of the session
	 * @param nowNanos monotonic time in nanoseconds
	 */
	void pinToOldVersion(long session, long nowNanos) {
		boolean pinnable = this.schedule.sessionsStayOnOldVersion(allowedProgress(nowNanos));
		if (pinnable && this.sessionsPinnedHere.size() < MAX_PINNED_SESSIONS
				&& hashPosition(session) < this.schedule.share(0)) {
			this.sessionsPinnedHere.add(session);
			this.pinnedSessions.add(session);
		}
	}

	/**
	 * Returns the number of sessions that this host has pinned to an old version.
	 * @return number of sessions, at most {@link #MAX_PINNED_SESSIONS}
	 */
	int sessionsPinnedHere() {
		return this.sessionsPinnedHere.size();
	}

	/**
	 * Returns whether any host has pinned a session to an old version.
	 * @param session hash of the session
	 * @return whether a host reported it as pinned
	 */
	boolean isPinnedToOldVersion(long session) {
		return this.pinnedSessions.contains(session);
	}

	/**
	 * Returns the operator's order to roll out a version.
	 * @return the order with its offset in the store
	 */
	public PositionedValue<RolloutOrder> order() {
		return this.order;
	}

	/**
	 * Replaces the position of the order, after the store has returned from an older copy
	 * and the operator has written the order again.
	 * @param writtenAgain the same order with its new position
	 */
	void moveOrder(PositionedValue<RolloutOrder> writtenAgain) {
		this.order = writtenAgain;
		this.orderOffsets.add(writtenAgain.offset());
	}

	/**
	 * Returns whether a published record belongs to this roll-out. Hosts that have not
	 * read the order again after a return of the store still name its former position.
	 * @param target version that the record names, empty if it names none
	 * @param orderOffset offset of the order that the record names
	 * @return whether both are those of this roll-out
	 */
	boolean isNamedBy(String target, long orderOffset) {
		return this.orderOffsets.contains(orderOffset)
				&& (target.isEmpty() || target.equals(this.order.value().target()));
	}

	/**
	 * Returns the final state of this roll-out.
	 * @return the state, empty before its end
	 */
	Optional<RolloutState> finalState() {
		return ended() ? Optional.of(this.state) : Optional.empty();
	}

	/**
	 * Applies a state that was read from the store. Ignored after a final state.
	 * @param published the state
	 * @param ageNanos age of the order, computed from the age in the record and the time
	 * since it was written, so that a host which started later has the same progress
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void applyPublishedState(RolloutState published, long ageNanos, long nowNanos) {
		if (ended()) {
			return;
		}
		this.state = published;
		long maxAge = 2 * this.order.value().durationMillis() * 1_000_000L;
		if (ageNanos > 0 && ageNanos < maxAge) {
			this.startedAtNanos = Math.min(this.startedAtNanos, nowNanos - ageNanos);
		}
	}

	/**
	 * Returns whether any host has published a state of this roll-out.
	 * @return whether a state was read
	 */
	public boolean hasPublishedState() {
		return this.state != null;
	}

	/**
	 * Returns whether the roll-out is completed or rolled back.
	 * @return whether the published state is final
	 */
	public boolean ended() {
		return this.state == RolloutState.COMPLETED || this.state == RolloutState.ROLLED_BACK;
	}

	/**
	 * Records that all states published up to a time were read, so that the progress may
	 * continue for {@link RolloutCoordinator#MAX_STATE_AGE_NANOS} after it. After a gap
	 * the roll-out is not completed before the other hosts had time to publish what they
	 * have seen meanwhile.
	 * @param nanos monotonic time in nanoseconds
	 */
	public void markStatesRead(long nanos) {
		if (nanos - this.statesReadAtNanos > READ_GAP_NANOS) {
			this.reportsSettledAtNanos = nanos + REPORTS_SETTLE_NANOS;
		}
		this.statesReadAtNanos = Math.max(this.statesReadAtNanos, nanos);
	}

	/**
	 * Chooses the versions to which a request may be sent.
	 * @param pinKey hash of the session, or of the request if it has no session
	 * @param onOld whether the session's last recent request went to an old version
	 * @param nowNanos monotonic time in nanoseconds
	 * @return group of versions, with the preferred one
	 */
	public VersionGroup chooseVersions(long pinKey, boolean onOld, long nowNanos) {
		if (this.state == RolloutState.COMPLETED) {
			return VersionGroup.PREFER_TARGET;
		}
		if (this.state == RolloutState.ROLLED_BACK || this.stopped) {
			return VersionGroup.OLD_ONLY;
		}
		double progress = allowedProgress(nowNanos);
		boolean staysOnOld = onOld && this.schedule.sessionsStayOnOldVersion(progress);
		if (staysOnOld || hashPosition(pinKey) >= this.schedule.share(progress)) {
			return VersionGroup.PREFER_OLD;
		}
		return VersionGroup.PREFER_TARGET;
	}

	/**
	 * Returns the current share of the sessions for the new version.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the share, 0 to 1
	 */
	public double targetShare(long nowNanos) {
		return this.schedule.share(allowedProgress(nowNanos));
	}

	/**
	 * Returns the part of the new version's servers that receive requests which belong to
	 * no session and whose answers are no streams. Streams are not sent to fewer servers
	 * than their share, as a long prompt delays the others of its engine.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the part, 0 to 1
	 */
	double serverShareWithoutSession(long nowNanos) {
		boolean decided = this.lastComparison.probablyWorse() || this.lastComparison.shownGood();
		return decided ? targetShare(nowNanos)
				: this.schedule.serverShareWithoutSession(allowedProgress(nowNanos), extraShare(nowNanos));
	}

	/**
	 * Chooses the versions for a request that belongs to no session and whose answer is
	 * no stream. More of these go to the new version in the load stage.
	 * @param pinKey hash of the request
	 * @param nowNanos monotonic time in nanoseconds
	 * @return group of versions, with the preferred one
	 */
	VersionGroup chooseVersionsWithoutSession(long pinKey, long nowNanos) {
		if (ended() || this.stopped) {
			return chooseVersions(pinKey, false, nowNanos);
		}
		double share = this.schedule.shareWithoutSession(allowedProgress(nowNanos), extraShare(nowNanos));
		return (hashPosition(pinKey) < share) ? VersionGroup.PREFER_TARGET : VersionGroup.PREFER_OLD;
	}

	// Estimated from the answers since this process knows the order.
	private double extraShare(long nowNanos) {
		boolean held = allowedProgress(nowNanos) < progress(nowNanos);
		if (held) {
			return 0;
		}
		double elapsed = (nowNanos - this.createdAtNanos) / (this.order.value().durationMillis() * 1_000_000.0);
		if (elapsed < MIN_OBSERVED_PROGRESS) {
			return 0;
		}
		return CanarySchedule.plannedExtraRequests(this.extraRequests.getAsDouble())
				/ Math.max(1, this.ownAnswers / elapsed);
	}

	private double allowedProgress(long nowNanos) {
		return this.schedule.limitProgress(progress(nowNanos), this.lastComparison.answers(),
				this.lastComparison.probablyWorse());
	}

	private static double hashPosition(long pinKey) {
		long mixed = pinKey * 0x9E3779B97F4A7C15L;
		mixed ^= mixed >>> 32;
		return (mixed >>> 11 & 0xFFFFFFFFFFL) / (double) (1L << 40);
	}

	/**
	 * Returns the elapsed part of the roll-out's duration. It stops growing when the
	 * published states have not been read for
	 * {@link RolloutCoordinator#MAX_STATE_AGE_NANOS}, because another host may have
	 * recorded a rollback.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the progress; 1 is the deadline
	 */
	public double progress(long nowNanos) {
		long knownUntil = Math.min(nowNanos, this.statesReadAtNanos + RolloutCoordinator.MAX_STATE_AGE_NANOS);
		return (knownUntil - this.startedAtNanos) / (Math.max(1, this.order.value().durationMillis()) * 1_000_000.0);
	}

	/**
	 * Returns the time since the operator ordered the roll-out, as far as this host
	 * knows.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return nanoseconds
	 */
	public long ageNanos(long nowNanos) {
		return nowNanos - this.startedAtNanos;
	}

	/**
	 * Returns the time left until the deadline of the roll-out.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return nanoseconds, negative after the deadline
	 */
	long untilDeadlineNanos(long nowNanos) {
		return this.order.value().durationMillis() * 1_000_000L - ageNanos(nowNanos);
	}

	/**
	 * Records an answer that this host received.
	 * @param route route of the request
	 * @param ofTarget whether the new version gave the answer
	 * @param bad whether it was a failure or several times slower than usual
	 * @param streamed whether it was a stream
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void recordAnswer(String route, boolean ofTarget, boolean bad, boolean streamed, long nowNanos) {
		this.ownAnswers++;
		this.answerCounts.recordAnswer(route, ofTarget, bad, streamed, nowNanos);
	}

	/**
	 * Adds the answer counts and pinned sessions that a host published. A report of an
	 * earlier process of this host is added to the current counts.
	 * @param report the report
	 */
	public void addReport(HostRolloutReport report) {
		this.pinnedSessions.addAll(report.pinnedSessions());
		this.answerCounts.addReport(report);
	}

	/**
	 * Returns this host's report and records that it is being published.
	 * @return the report, earlier processes of this host included
	 */
	public HostRolloutReport reportToPublish() {
		this.answerCounts.markPublished();
		return ownReport();
	}

	/**
	 * Returns this host's report.
	 * @return the report, earlier processes of this host included
	 */
	public HostRolloutReport ownReport() {
		return new HostRolloutReport(this.order.value().service(), this.host, this.order.value().target(),
				this.order.offset(), this.answerCounts.ownByRoute(), this.sessionsPinnedHere);
	}

	/**
	 * Compares the versions by the reports of all hosts and caches the result, because a
	 * comparison costs too much to be made for each request.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return whether to roll back: the new version is worse, or it is probably worse and
	 * the roll-out could complete now, so that it does not stay undecided
	 */
	boolean shouldRollBack(long nowNanos) {
		this.answerCounts.countDueStreams(nowNanos);
		this.lastComparison = this.answerCounts.compare();
		boolean decisionDue = this.schedule.mayComplete(progress(nowNanos));
		return this.lastComparison.worse() || (decisionDue && this.lastComparison.probablyWorse());
	}

	/**
	 * Returns the result of the last comparison.
	 * @return the comparison made by the last call of {@link #shouldRollBack}
	 */
	VersionComparison lastComparison() {
		return this.lastComparison;
	}

	/** Stops this host from sending new requests to the new version. */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Returns whether this host has stopped sending new requests to the new version.
	 * @return whether {@link #stop} was called
	 */
	public boolean stopped() {
		return this.stopped;
	}

	/**
	 * Returns whether the roll-out may be completed, after which the old versions may be
	 * stopped.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return whether the schedule allows it, the reports of all hosts are current, and
	 * enough answers of the new version were compared with a low score (strength of
	 * evidence that it is worse) and show that it is not clearly worse
	 */
	public boolean mayComplete(long nowNanos) {
		boolean overdue = progress(nowNanos) >= MAX_UNDECIDED_PROGRESS;
		boolean settled = nowNanos - this.reportsSettledAtNanos >= 0;
		boolean lowScore = overdue || this.lastComparison.score() <= MAX_SCORE_TO_COMPLETE;
		boolean good = this.lastComparison.answers() >= MIN_ANSWERS_TO_COMPLETE && lowScore
				&& (this.lastComparison.shownGood() || (overdue && notDistinguished()));
		return good && settled && !this.stopped && !ended() && this.schedule.mayComplete(allowedProgress(nowNanos));
	}

	// In a service of few requests the old version's answers may be too few for evidence.
	private boolean notDistinguished() {
		return this.lastComparison.answers() >= MANY_ANSWERS && !this.lastComparison.probablyWorse();
	}

}
