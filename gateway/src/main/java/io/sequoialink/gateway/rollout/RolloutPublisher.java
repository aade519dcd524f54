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
 * Publishes what this host saw of one roll-out and the state that it holds for due.
 * Confined to the event loop.
 *
 * <p>
 * Invariants: at most one write of a state is under way; a state is written only on the
 * condition that nothing was written since the last read, and right after a read made for
 * it, since other hosts write all the time.
 */
final class RolloutPublisher {

	private static final Logger logger = LoggerFactory.getLogger(RolloutPublisher.class);

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * Longest random delay before a state is written, so that of many hosts few write at
	 * once.
	 */
	private static final long MAX_DELAY_NANOS = 1_500_000_000L;

	/** Shortest bound of that delay, near the deadline. */
	private static final long MIN_DELAY_NANOS = 200_000_000L;

	/**
	 * Part of the time to the deadline that the delay may take; the rest is for writes.
	 */
	private static final int DELAY_OF_TIME_LEFT = 4;

	/**
	 * Time for the read before a state is written; if it brings nothing, nothing was
	 * written meanwhile.
	 */
	private static final long REFRESH_NANOS = 60_000_000L;

	/** Pause between two publications of what other hosts must know soon. */
	private static final long EVIDENCE_PAUSE_NANOS = 400_000_000L;

	/** Longest pause between two publications of answers of which none was bad. */
	private static final long LONGEST_PAUSE_NANOS = 4_000_000_000L;

	/** Hosts that may publish at the shortest pause without straining the store. */
	private static final int SMALL_FLEET = 8;

	/**
	 * Answers of the new version after which a host publishes again though none was bad.
	 */
	private static final int EVIDENCE_STEP = 4;

	/**
	 * Answers of the new version, of all hosts, below which each one is published: where
	 * traffic is thin, hosts see one or two each.
	 */
	private static final int FEW_ANSWERS = 12;

	private final Canary canary;

	private final RolloutRecords records;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private RolloutState wanted;

	private long notBefore;

	private boolean writing;

	private boolean refreshed;

	private long evidenceAt;

	private long publishedBad;

	private int publishedKept;

	private long publishedAnswers;

	RolloutPublisher(Canary canary, RolloutRecords records, LongSupplier clock, RandomGenerator random) {
		this.canary = canary;
		this.records = records;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Publishes what this host saw, if other hosts need to know more than it published.
	 * @param hosts hosts that publish
	 */
	void publishEvidence(int hosts) {
		long now = this.clock.getAsLong();
		HostEvidence own = this.canary.ownEvidence();
		boolean urgent = own.targetBad() > this.publishedBad || this.canary.ownKept() > this.publishedKept;
		// other hosts' writes of what went well would make the last verdict fail
		boolean welcome = !this.canary.mayComplete(now);
		boolean few = this.canary.judgement().answers() < FEW_ANSWERS;
		boolean news = urgent || (welcome && own.targetAnswers() >= this.publishedAnswers + (few ? 1 : EVIDENCE_STEP));
		if (!news || now - this.evidenceAt < evidencePause(urgent, hosts)) {
			return;
		}
		this.evidenceAt = now;
		this.publishedBad = own.targetBad();
		this.publishedKept = this.canary.ownKept();
		this.publishedAnswers = own.targetAnswers();
		this.records.evidence(this.canary.publish(), (reply) -> reply.match((offset) -> {
		}, this::evidenceNotWritten));
	}

	// Many hosts see enough together though each says less often what went well.
	private static long evidencePause(boolean urgent, int hosts) {
		if (urgent) {
			return EVIDENCE_PAUSE_NANOS;
		}
		return Math.min(LONGEST_PAUSE_NANOS, EVIDENCE_PAUSE_NANOS * Math.max(1, hosts / SMALL_FLEET));
	}

	private void evidenceNotWritten(StoreFailure failure) {
		this.publishedBad = -1;
		this.publishedKept = 0;
		logger.info(GatewayEvents.EVIDENCE_NOT_WRITTEN, order().service(), failure.kind(), failure.detail());
	}

	/**
	 * Writes the state that is due, if it differs from the published one.
	 * @param knownEnd offset up to which the published states are known
	 */
	void decide(long knownEnd) {
		if (this.writing || this.canary.ended()) {
			return;
		}
		if (this.canary.stopped()) {
			write(RolloutState.ROLLED_BACK, knownEnd);
		}
		else if (this.canary.mayComplete(this.clock.getAsLong())) {
			write(RolloutState.COMPLETED, knownEnd);
		}
		else if (!this.canary.published()) {
			write(RolloutState.ACTIVE, knownEnd);
		}
	}

	/**
	 * Notes a read; what waited for it is written before other hosts write more.
	 * @param knownEnd offset up to which the published states are known
	 */
	void wasRead(long knownEnd) {
		if (this.refreshed) {
			this.notBefore = this.clock.getAsLong();
			decide(knownEnd);
		}
	}

	private void write(RolloutState state, long knownEnd) {
		long now = this.clock.getAsLong();
		if (this.wanted != state) {
			this.wanted = state;
			this.refreshed = false;
			logJudgement(state);
			this.notBefore = now + delay(now);
		}
		if (now - this.notBefore < 0) {
			return;
		}
		if (!this.refreshed) {
			this.refreshed = true;
			this.notBefore = now + REFRESH_NANOS;
			this.records.readNow();
			return;
		}
		this.refreshed = false;
		this.writing = true;
		append(state, knownEnd, now);
	}

	private void logJudgement(RolloutState state) {
		if (state == RolloutState.ACTIVE) {
			return;
		}
		Judgement seen = this.canary.judgement();
		logger.info(GatewayEvents.ROLLOUT_JUDGED, order().service(), order().target(), state, seen.tested().bad(),
				seen.tested().answers(), seen.reference().bad(), seen.reference().answers(), seen.hosts(),
				Math.round(10 * seen.score()) / 10.0);
	}

	private long delay(long now) {
		long left = this.canary.untilDeadlineNanos(now);
		long longest = (left > 0) ? Math.min(MAX_DELAY_NANOS, left / DELAY_OF_TIME_LEFT) : MAX_DELAY_NANOS;
		return this.random.nextLong(Math.max(MIN_DELAY_NANOS, longest));
	}

	private void append(RolloutState state, long knownEnd, long now) {
		RolloutStatus status = new RolloutStatus(order().service(), order().target(), state,
				this.canary.order().offset(), this.canary.ageNanos(now) / NANOS_PER_MILLI);
		this.records.status(status, OptionalLong.of(knownEnd), (reply) -> {
			this.writing = false;
			long answered = this.clock.getAsLong();
			this.notBefore = answered + delay(answered);
			reply.match((offset) -> logger.info(GatewayEvents.ROLLOUT_WRITTEN, order().service(), order().target(),
					state, offset), (failure) -> stateNotWritten(state, failure));
		});
	}

	private void stateNotWritten(RolloutState state, StoreFailure failure) {
		logger.info(GatewayEvents.ROLLOUT_NOT_WRITTEN, order().service(), order().target(), state, failure.kind(),
				failure.detail());
	}

	private RolloutOrder order() {
		return this.canary.order().value();
	}

}
