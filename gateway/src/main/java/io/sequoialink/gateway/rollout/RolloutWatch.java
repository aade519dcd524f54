package io.sequoialink.gateway.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.rollout.BadAnswerTest;
import io.sequoialink.decision.rollout.CanarySchedule;
import io.sequoialink.decision.rollout.RolloutSettings;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.Found;
import io.sequoialink.gateway.fleet.RolloutOrder;
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
 * same moment. A host publishes nothing of what it saw before it has read once what it
 * published in an earlier life, which is added. Any host may die or be cut off at any
 * time.
 */
public final class RolloutWatch {

	/** Age of the published states up to which they count as known. */
	public static final long CONFIRMATION_NANOS = 3_000_000_000L;

	private static final Logger logger = LoggerFactory.getLogger(RolloutWatch.class);

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final String host;

	private Options options;

	private final RolloutRecords records;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private final Map<String, Canary> canaries = new HashMap<>();

	private final RecentSessions sessions = new RecentSessions();

	private final Map<String, RolloutPublisher> publishers = new HashMap<>();

	private final Map<String, Found<RolloutStatus>> statuses = new HashMap<>();

	private final Map<String, HostEvidence> evidences = new HashMap<>();

	private long knownEnd;

	private boolean readOnce;

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
		CanarySchedule schedule = new CanarySchedule(this.options.permittedShare(), order.value().durationMillis());
		Canary canary = new Canary(this.host, order, schedule, new BadAnswerTest(RolloutSettings.defaults()),
				this.clock.getAsLong());
		this.canaries.put(order.value().service(), canary);
		this.publishers.put(order.value().service(),
				new RolloutPublisher(canary, this.records, this.clock, this.random));
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
		this.readOnce = true;
		long now = this.clock.getAsLong();
		this.canaries.values().forEach((canary) -> canary.confirmed(now));
		this.publishers.values().forEach((publisher) -> publisher.wasRead(end));
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
	 * @param streamed whether it was a stream
	 */
	public void answered(String service, String version, String route, boolean bad, boolean streamed) {
		Canary canary = this.canaries.get(service);
		if (canary != null && !canary.ended()) {
			canary.answered(route, version.equals(canary.order().value().target()), bad, streamed,
					this.clock.getAsLong());
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
				tick(entry.getValue(), this.publishers.get(entry.getKey()));
			}
		}
	}

	private void tick(Canary canary, RolloutPublisher publisher) {
		boolean worse = canary.judge(this.clock.getAsLong());
		if (worse && !canary.stopped()) {
			canary.stop();
			logger.warn(GatewayEvents.ROLLOUT_STOPPED, canary.order().value().service(),
					canary.order().value().target(), canary.ownEvidence().targetBad(),
					canary.ownEvidence().targetAnswers());
		}
		if (this.readOnce) {
			publisher.publishEvidence(this.evidences.size());
		}
		publisher.decide(this.knownEnd);
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
