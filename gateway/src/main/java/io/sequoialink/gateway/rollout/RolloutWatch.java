package io.sequoialink.gateway.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.rollout.BadAnswerTest;
import io.sequoialink.decision.rollout.CanarySchedule;
import io.sequoialink.decision.rollout.RolloutSettings;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.StoreFailure;
import io.sequoialink.gateway.fleet.Found;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.RolloutState;
import io.sequoialink.gateway.fleet.RolloutStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out roll-outs together with the other hosts. Confined to the event loop.
 *
 * <p>
 * Every host publishes what it saw and judges the sum. The first to reach a verdict
 * writes it on the condition that nothing was written since it last read, so that a
 * verdict is never overwritten unseen; a random delay keeps the others from trying at the
 * same moment. Any host may die or be cut off at any time.
 */
public final class RolloutWatch {

	/** Age of the published states up to which they count as known. */
	public static final long CONFIRMATION_NANOS = 3_000_000_000L;

	private static final Logger logger = LoggerFactory.getLogger(RolloutWatch.class);

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * Longest random delay before a state is written, so that of many hosts few write at
	 * once.
	 */
	private static final long MAX_DELAY_NANOS = 1_500_000_000L;

	/**
	 * Time for a read before a state is written: other hosts write all the time, and a
	 * state is written only if nothing was since the last read.
	 */
	private static final long REFRESH_NANOS = 60_000_000L;

	private static final long EVIDENCE_PAUSE_NANOS = 400_000_000L;

	/** Longest pause between two publications of answers of which none was bad. */
	private static final long LONGEST_PAUSE_NANOS = 4_000_000_000L;

	/** Hosts that may publish at the shortest pause without straining the store. */
	private static final int SMALL_FLEET = 8;

	/**
	 * Answers of the new version after which a host publishes again though none was bad.
	 */
	private static final int EVIDENCE_STEP = 4;

	private final String host;

	private Options options;

	private final RolloutRecords records;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private final Map<String, Canary> canaries = new HashMap<>();

	private final RecentSessions sessions = new RecentSessions();

	private final Map<String, Pending> pending = new HashMap<>();

	private final Map<String, Found<RolloutStatus>> statuses = new HashMap<>();

	private final Map<String, HostEvidence> evidences = new HashMap<>();

	private long knownEnd;

	/**
	 * Creates a watch that knows no roll-out.
	 * @param host name of this host
	 * @param options bounds of roll-outs
	 * @param records writes what is published
	 * @param clock monotonic time in nanoseconds
	 * @param random source of delays
	 */
	public RolloutWatch(String host, Options options, RolloutRecords records, LongSupplier clock,
			RandomGenerator random) {
		this.host = host;
		this.options = options;
		this.records = records;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Takes changed bounds; they hold for roll-outs ordered from now on.
	 * @param changed the bounds
	 */
	public void options(Options changed) {
		this.options = changed;
	}

	/**
	 * Takes an operator's order.
	 * @param order the order with its offset
	 */
	public void order(Found<RolloutOrder> order) {
		Canary known = this.canaries.get(order.value().service());
		if (known != null && known.order().offset() >= order.offset()) {
			return;
		}
		BadAnswerTest test = new BadAnswerTest(RolloutSettings.defaults());
		this.canaries.put(order.value().service(), new Canary(this.host, order,
				new CanarySchedule(this.options.permittedShare()), test, this.clock.getAsLong()));
		this.pending.put(order.value().service(), new Pending());
		keepSessions(order.value());
		logger.info(GatewayEvents.ROLLOUT_ORDERED, order.value().service(), order.value().target(),
				order.value().durationMillis(), order.offset());
		Found<RolloutStatus> published = this.statuses.get(order.value().service());
		if (published != null) {
			status(published);
		}
		this.evidences.values().forEach(this::evidence);
	}

	// Sessions come to other hosts too, which must not take them for new.
	private void keepSessions(RolloutOrder order) {
		long now = this.clock.getAsLong();
		Canary canary = this.canaries.get(order.service());
		for (long session : this.sessions.notOn(order.target(), now - this.options.sessionNanos())) {
			canary.keep(session, now);
		}
	}

	/**
	 * Takes a published state.
	 * @param status the state with its offset
	 */
	public void status(Found<RolloutStatus> status) {
		this.statuses.put(status.value().service(), status);
		Canary canary = this.canaries.get(status.value().service());
		if (canary == null || status.value().order() != canary.order().offset()) {
			return;
		}
		boolean before = canary.ended();
		canary.state(status.value().state(), status.value().ageMillis() * NANOS_PER_MILLI, this.clock.getAsLong());
		if (!before && canary.ended()) {
			logger.info(GatewayEvents.ROLLOUT_ENDED, status.value().service(), status.value().target(),
					status.value().state(), status.offset());
		}
	}

	/**
	 * Takes what a host saw.
	 * @param evidence the evidence
	 */
	public void evidence(HostEvidence evidence) {
		this.evidences.put(evidence.service() + '/' + evidence.host(), evidence);
		Canary canary = this.canaries.get(evidence.service());
		if (canary != null && canary.order().offset() == evidence.order()) {
			canary.take(evidence);
		}
	}

	/**
	 * Notes how far the published states were read.
	 * @param end offset after the last record
	 */
	public void read(long end) {
		this.knownEnd = end;
		long now = this.clock.getAsLong();
		this.canaries.values().forEach((canary) -> canary.confirmed(now));
		writeRefreshed(now);
	}

	// What waited for this read is written before the other hosts write more.
	private void writeRefreshed(long now) {
		this.canaries.forEach((service, canary) -> {
			Pending work = this.pending.get(service);
			if (work.refreshed && !canary.ended()) {
				work.notBefore = now;
				decide(canary, work, now);
			}
		});
	}

	/**
	 * Returns the roll-out of a service.
	 * @param service name of the service
	 * @return the roll-out, {@code null} if none was ordered
	 */
	Canary canary(String service) {
		return this.canaries.get(service);
	}

	/**
	 * Chooses the versions for a request.
	 * @param service service that is to answer
	 * @param pinKey hash of the session, or of the request if it belongs to none
	 * @param session whether the request belongs to a session
	 * @return the group of versions
	 */
	public VersionGroup choose(String service, long pinKey, boolean session) {
		Canary canary = this.canaries.get(service);
		if (canary == null) {
			return VersionGroup.ANY;
		}
		long now = this.clock.getAsLong();
		String target = canary.order().value().target();
		Optional<String> last = this.sessions.version(pinKey, now - this.options.sessionNanos());
		boolean onOld = last.map((version) -> !version.equals(target)).orElse(canary.kept(pinKey));
		return canary.choose(pinKey, session && onOld, now);
	}

	/**
	 * Returns the version that a service is moved to.
	 * @param service name of the service
	 * @return the version, or an empty text if no roll-out was ordered
	 */
	public String target(String service) {
		Canary canary = this.canaries.get(service);
		return (canary != null) ? canary.order().value().target() : "";
	}

	/**
	 * Returns the share of the requests that goes to the version that a service is moved
	 * to.
	 * @param service name of the service
	 * @return the share, 1 if no roll-out is under way
	 */
	public double share(String service) {
		Canary canary = this.canaries.get(service);
		return (canary != null && !canary.ended()) ? canary.share(this.clock.getAsLong()) : 1;
	}

	/**
	 * Notes that a session's request is sent.
	 * @param service service that is to answer
	 * @param version version of the backend server
	 * @param pinKey hash of the session
	 */
	public void sent(String service, String version, long pinKey) {
		long now = this.clock.getAsLong();
		this.sessions.sent(pinKey, version, now);
		Canary canary = this.canaries.get(service);
		if (canary != null && !canary.ended() && !version.equals(canary.order().value().target())) {
			canary.keep(pinKey, now);
		}
	}

	/**
	 * Notes that a session's request goes on or has ended: the session lasts from then
	 * on.
	 * @param version version of the backend server
	 * @param pinKey hash of the session
	 */
	public void active(String version, long pinKey) {
		this.sessions.active(pinKey, version, this.clock.getAsLong());
	}

	/**
	 * Notes an answer.
	 * @param service service that answered
	 * @param version version of the backend server
	 * @param route route of the request
	 * @param bad whether it was a failure or several times slower than usual
	 */
	public void answered(String service, String version, String route, boolean bad) {
		Canary canary = this.canaries.get(service);
		if (canary != null && !canary.ended()) {
			canary.answered(route, version.equals(canary.order().value().target()), bad);
		}
	}

	/**
	 * Returns whether a roll-out is under way.
	 * @return whether what hosts publish matters now
	 */
	public boolean underWay() {
		return this.canaries.values().stream().anyMatch((canary) -> !canary.ended());
	}

	/**
	 * Publishes and decides what is due. Called a few times a second.
	 */
	public void tick() {
		for (Map.Entry<String, Canary> entry : this.canaries.entrySet()) {
			if (!entry.getValue().ended()) {
				tick(entry.getValue(), this.pending.get(entry.getKey()));
			}
		}
	}

	private void tick(Canary canary, Pending work) {
		long now = this.clock.getAsLong();
		if (!canary.stopped() && canary.worse()) {
			canary.stop();
			logger.warn(GatewayEvents.ROLLOUT_STOPPED, canary.order().value().service(),
					canary.order().value().target(), canary.ownEvidence().targetBad(),
					canary.ownEvidence().targetAnswers());
		}
		publishEvidence(canary, work, now);
		decide(canary, work, now);
	}

	private void decide(Canary canary, Pending work, long now) {
		if (work.writing) {
			return;
		}
		if (canary.stopped()) {
			write(canary, work, RolloutState.ROLLED_BACK, now);
		}
		else if (canary.mayComplete(now)) {
			write(canary, work, RolloutState.COMPLETED, now);
		}
		else if (!canary.published()) {
			write(canary, work, RolloutState.ACTIVE, now);
		}
	}

	private void publishEvidence(Canary canary, Pending work, long now) {
		HostEvidence own = canary.ownEvidence();
		boolean bad = own.targetBad() > work.publishedBad;
		boolean kept = canary.ownKept() > work.publishedKept;
		boolean news = bad || kept || own.targetAnswers() >= work.publishedAnswers + EVIDENCE_STEP;
		if (!news || now - work.evidenceAt < evidencePause(bad || kept)) {
			return;
		}
		work.publishedKept = canary.ownKept();
		work.evidenceAt = now;
		work.publishedBad = own.targetBad();
		work.publishedAnswers = own.targetAnswers();
		this.records.evidence(canary.publish(), (reply) -> reply.match((offset) -> {
		}, (failure) -> {
			work.publishedBad = -1;
			work.publishedKept = 0;
			logger.info(GatewayEvents.EVIDENCE_NOT_WRITTEN, canary.order().value().service(), failure.kind(),
					failure.detail());
		}));
	}

	// Many hosts see enough together though each says less often what went well.
	private long evidencePause(boolean urgent) {
		if (urgent) {
			return EVIDENCE_PAUSE_NANOS;
		}
		return Math.min(LONGEST_PAUSE_NANOS, EVIDENCE_PAUSE_NANOS * Math.max(1, this.evidences.size() / SMALL_FLEET));
	}

	private void write(Canary canary, Pending work, RolloutState wanted, long now) {
		if (work.wanted != wanted) {
			work.wanted = wanted;
			work.refreshed = false;
			work.notBefore = now + this.random.nextLong(MAX_DELAY_NANOS);
		}
		if (now - work.notBefore < 0) {
			return;
		}
		if (!work.refreshed) {
			work.refreshed = true;
			work.notBefore = now + REFRESH_NANOS;
			this.records.readNow();
			return;
		}
		work.refreshed = false;
		work.writing = true;
		RolloutOrder order = canary.order().value();
		RolloutStatus status = new RolloutStatus(order.service(), order.target(), wanted, canary.order().offset(),
				canary.ageNanos(now) / NANOS_PER_MILLI);
		this.records.status(status, OptionalLong.of(this.knownEnd), (reply) -> {
			work.writing = false;
			work.notBefore = this.clock.getAsLong() + this.random.nextLong(MAX_DELAY_NANOS);
			reply.match((offset) -> logger.info(GatewayEvents.ROLLOUT_WRITTEN, order.service(), order.target(), wanted,
					offset), (failure) -> noteFailure(order, wanted, failure));
		});
	}

	private static void noteFailure(RolloutOrder order, RolloutState wanted, StoreFailure failure) {
		logger.info(GatewayEvents.ROLLOUT_NOT_WRITTEN, order.service(), order.target(), wanted, failure.kind(),
				failure.detail());
	}

	/**
	 * What this host is about to publish of one roll-out. Confined to its watch.
	 */
	private static final class Pending {

		private RolloutState wanted;

		private long notBefore;

		private boolean writing;

		private boolean refreshed;

		private long evidenceAt;

		private long publishedBad;

		private int publishedKept;

		private long publishedAnswers;

	}

	/**
	 * Bounds of roll-outs. Immutable.
	 *
	 * @param permittedShare share of the requests that a bad version may get
	 * @param sessionNanos time within which requests of a session belong together
	 */
	public record Options(double permittedShare, long sessionNanos) {
	}

}
