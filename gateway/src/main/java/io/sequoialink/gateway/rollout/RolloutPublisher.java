package io.sequoialink.gateway.rollout;

import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.StoreFailure;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.RolloutState;
import io.sequoialink.gateway.fleet.RolloutStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes this host's report on one roll-out, and the roll-out's state when it should
 * change. Confined to the event loop.
 *
 * <p>
 * Invariants: at most one write of a state is in progress; a state is written only on the
 * condition that nothing was appended since the last read. Other hosts append all the
 * time, so the publisher requests a read immediately before the write.
 */
final class RolloutPublisher {

	private static final Logger logger = LoggerFactory.getLogger(RolloutPublisher.class);

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * Upper bound of the random delay before a state is written, which keeps many hosts
	 * from writing at the same moment.
	 */
	private static final long MAX_STATE_DELAY_NANOS = 1_500_000_000L;

	/** Smallest upper bound of that delay, used near the deadline. */
	private static final long MIN_STATE_DELAY_BOUND_NANOS = 200_000_000L;

	/**
	 * The delay takes at most the remaining time divided by this; the rest of the time is
	 * left for the writes.
	 */
	private static final int REMAINING_TIME_DIVISOR = 4;

	/**
	 * Maximum wait for the read that precedes the write of a state, in nanoseconds. If no
	 * record arrives, nothing was appended in the meantime.
	 */
	private static final long READ_WAIT_NANOS = 60_000_000L;

	/** Minimum interval between two reports of a host. */
	private static final long MIN_REPORT_INTERVAL_NANOS = 400_000_000L;

	/**
	 * Number of reports per second of all hosts together that the interval permits; a
	 * quarter of the writes that the smallest store takes.
	 */
	private static final long REPORTS_PER_SECOND = 100;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final Canary canary;

	private final RolloutStore records;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private RolloutState pendingState;

	private long nextAttemptNanos;

	private boolean writing;

	private boolean readRequested;

	private long lastReportNanos;

	private long reportedBadAnswers;

	private int reportedPinnedSessions;

	private long reportedAnswers;

	RolloutPublisher(Canary canary, RolloutStore records, LongSupplier clock, RandomGenerator random) {
		this.canary = canary;
		this.records = records;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Publishes this host's report if it contains new answers or pinned sessions and the
	 * interval has passed.
	 * @param hosts number of hosts that publish reports
	 */
	void publishReportIfDue(int hosts) {
		long now = this.clock.getAsLong();
		HostRolloutReport own = this.canary.ownReport();
		// reports of good answers would make the conditional write of the final state
		// fail on other hosts
		boolean goodAnswersAllowed = !this.canary.mayComplete(now);
		boolean due = own.targetBadAnswers() > this.reportedBadAnswers
				|| this.canary.sessionsPinnedHere() > this.reportedPinnedSessions
				|| (goodAnswersAllowed && own.targetAnswers() > this.reportedAnswers);
		if (!due || now - this.lastReportNanos < reportInterval(hosts)) {
			return;
		}
		this.lastReportNanos = now;
		this.reportedBadAnswers = own.targetBadAnswers();
		this.reportedPinnedSessions = this.canary.sessionsPinnedHere();
		this.reportedAnswers = own.targetAnswers();
		this.records.writeReport(this.canary.reportToPublish(), (reply) -> reply.match((offset) -> {
		}, this::onReportWriteFailed));
	}

	// The same for good and for bad answers: in a large fleet each host sees a few, and
	// if bad ones were known first, a good version would look bad.
	private static long reportInterval(int hosts) {
		return Math.max(MIN_REPORT_INTERVAL_NANOS, hosts * NANOS_PER_SECOND / REPORTS_PER_SECOND);
	}

	private void onReportWriteFailed(StoreFailure failure) {
		this.reportedBadAnswers = -1;
		this.reportedPinnedSessions = 0;
		logger.info(GatewayEvents.EVIDENCE_NOT_WRITTEN, order().service(), failure.kind(), failure.detail());
	}

	/**
	 * Writes the state of the roll-out if it should change.
	 * @param readUpToOffset end offset of the last read of the published records
	 */
	void writeStateIfDue(long readUpToOffset) {
		if (this.writing || this.canary.ended()) {
			return;
		}
		if (this.canary.stopped()) {
			write(RolloutState.ROLLED_BACK, readUpToOffset);
		}
		else if (this.canary.mayComplete(this.clock.getAsLong())) {
			write(RolloutState.COMPLETED, readUpToOffset);
		}
		else if (!this.canary.hasPublishedState()) {
			write(RolloutState.ACTIVE, readUpToOffset);
		}
	}

	/**
	 * Writes the final state again, which the store has lost.
	 * @param state the state
	 * @param readUpToOffset end offset of the last read of the published records
	 */
	void writeLostState(RolloutState state, long readUpToOffset) {
		if (!this.writing) {
			write(state, readUpToOffset);
		}
	}

	/**
	 * Called when the store has returned from an older copy. A state that was read before
	 * may have to be written anew, after another random delay.
	 */
	void storeReturned() {
		this.pendingState = null;
		this.readRequested = false;
	}

	/**
	 * Called after each read. A state write that waited for the read is made at once,
	 * before other hosts append more.
	 * @param readUpToOffset end offset of the read
	 */
	void onRead(long readUpToOffset) {
		if (this.readRequested) {
			this.nextAttemptNanos = this.clock.getAsLong();
			writeStateIfDue(readUpToOffset);
		}
	}

	private void write(RolloutState state, long readUpToOffset) {
		long now = this.clock.getAsLong();
		if (this.pendingState != state) {
			this.pendingState = state;
			this.readRequested = false;
			logComparison(state);
			this.nextAttemptNanos = now + randomDelayNanos(now);
		}
		if (now - this.nextAttemptNanos < 0) {
			return;
		}
		if (!this.readRequested) {
			this.readRequested = true;
			this.nextAttemptNanos = now + READ_WAIT_NANOS;
			this.records.readNow();
			return;
		}
		this.readRequested = false;
		this.writing = true;
		append(state, readUpToOffset, now);
	}

	private void logComparison(RolloutState state) {
		if (state == RolloutState.ACTIVE) {
			return;
		}
		VersionComparison comparison = this.canary.lastComparison();
		logger.info(GatewayEvents.ROLLOUT_EVALUATED, order().service(), order().target(), state,
				comparison.tested().bad(), comparison.tested().answers(), comparison.reference().bad(),
				comparison.reference().answers(), comparison.hosts(), rounded(comparison.score()),
				rounded(comparison.goodScore()));
	}

	private static double rounded(double score) {
		return Math.round(10 * score) / 10.0;
	}

	private long randomDelayNanos(long now) {
		long remaining = this.canary.untilDeadlineNanos(now);
		long bound = (remaining > 0) ? Math.min(MAX_STATE_DELAY_NANOS, remaining / REMAINING_TIME_DIVISOR)
				: MAX_STATE_DELAY_NANOS;
		return this.random.nextLong(Math.max(MIN_STATE_DELAY_BOUND_NANOS, bound));
	}

	private void append(RolloutState state, long readUpToOffset, long now) {
		RolloutStatus status = new RolloutStatus(order().service(), order().target(), state,
				this.canary.order().offset(), this.canary.ageNanos(now) / NANOS_PER_MILLI);
		this.records.writeStatus(status, OptionalLong.of(readUpToOffset), (reply) -> {
			this.writing = false;
			long repliedAt = this.clock.getAsLong();
			this.nextAttemptNanos = repliedAt + randomDelayNanos(repliedAt);
			reply.match((offset) -> logger.info(GatewayEvents.ROLLOUT_STATE_WRITTEN, order().service(),
					order().target(), state, offset), (failure) -> onStateWriteFailed(state, failure));
		});
	}

	private void onStateWriteFailed(RolloutState state, StoreFailure failure) {
		logger.info(GatewayEvents.ROLLOUT_STATE_NOT_WRITTEN, order().service(), order().target(), state, failure.kind(),
				failure.detail());
	}

	private RolloutOrder order() {
		return this.canary.order().value();
	}

}
