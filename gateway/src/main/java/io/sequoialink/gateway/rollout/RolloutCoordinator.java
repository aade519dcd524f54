package io.sequoialink.gateway.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.rollout.BadAnswerTest;
import io.sequoialink.decision.rollout.CanarySchedule;
import io.sequoialink.decision.rollout.RolloutSettings;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.PositionedValue;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.RolloutState;
import io.sequoialink.gateway.fleet.RolloutStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the roll-outs of all services on this host, together with the other hosts.
 * Confined to the event loop.
 *
 * <p>
 * Every host publishes its report and evaluates the sum of all reports. The first host to
 * reach a decision writes the final state on the condition that nothing was appended
 * since its last read, so no host overwrites a final state that it has not read. A random
 * delay keeps hosts from trying at the same moment. A host publishes no report before it
 * has read the report of its earlier process, whose counts it adds. Any host may crash or
 * be disconnected at any time.
 */
public final class RolloutCoordinator {

	/**
	 * Time after the last read of the published states during which they count as
	 * current, in nanoseconds.
	 */
	public static final long MAX_STATE_AGE_NANOS = 3_000_000_000L;

	/**
	 * Time after a return of the store in which the operator writes again what it has
	 * lost, in nanoseconds.
	 */
	static final long WRITE_AGAIN_NANOS = 5_000_000_000L;

	private static final Logger logger = LoggerFactory.getLogger(RolloutCoordinator.class);

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final String host;

	private Options options;

	private final RolloutStore records;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private final Map<String, Canary> canaries = new HashMap<>();

	private final RecentSessions sessions = new RecentSessions();

	private final Map<String, RolloutPublisher> publishers = new HashMap<>();

	private final Map<String, OrderOfCopy> ordersOfCopy = new HashMap<>();

	private final Map<String, PositionedValue<RolloutStatus>> statuses = new HashMap<>();

	private final Map<String, HostRolloutReport> reports = new HashMap<>();

	private long readUpToOffset;

	private boolean recordsRead;

	private OptionalLong returnedEra = OptionalLong.empty();

	/**
	 * Creates a coordinator for a host that has read no roll-out order yet.
	 * @param host name of this host
	 * @param options limits for roll-outs
	 * @param records writes states and reports to the store
	 * @param clock monotonic time in nanoseconds
	 * @param random source of the random delays
	 */
	public RolloutCoordinator(String host, Options options, RolloutStore records, LongSupplier clock,
			RandomGenerator random) {
		this.host = host;
		this.options = options;
		this.records = records;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Changes the limits of roll-outs that are ordered from now on.
	 * @param changed the new limits
	 */
	public void setOptions(Options changed) {
		this.options = changed;
	}

	/**
	 * Begins the roll-out that an operator ordered. Ignored if this host has already read
	 * the same or a later order for the service. An equal order that was read in another
	 * era of the store is the same one, written again.
	 * @param order the roll-out order with the offset of its record
	 */
	public void onOrder(PositionedValue<RolloutOrder> order) {
		this.ordersOfCopy.remove(order.value().service());
		Canary current = this.canaries.get(order.value().service());
		if (current != null && !order.mayReplace(current.order())) {
			return;
		}
		if (current != null && order.inOtherEra(current.order()) && order.value().equals(current.order().value())) {
			current.moveOrder(order);
			return;
		}
		CanarySchedule schedule = new CanarySchedule(this.options.permittedShare(), order.value().durationMillis());
		Canary canary = new Canary(this.host, order, schedule, new BadAnswerTest(RolloutSettings.defaults()),
				this::extraRequestsOfThisHost, this.clock.getAsLong());
		this.canaries.put(order.value().service(), canary);
		this.publishers.put(order.value().service(),
				new RolloutPublisher(canary, this.records, this.clock, this.random));
		pinRecentSessions(order.value());
		logger.info(GatewayEvents.ROLLOUT_ORDERED, order.value().service(), order.value().target(),
				order.value().durationMillis(), order.offset());
		PositionedValue<RolloutStatus> published = this.statuses.get(order.value().service());
		if (published != null) {
			onStatus(published);
		}
		this.reports.values().forEach(this::onReport);
	}

	private double extraRequestsOfThisHost() {
		return this.options.permittedSlack() / Math.max(1, this.options.hosts().getAsInt());
	}

	/**
	 * Applies an order of the copy from which the store returned. One that differs from
	 * what this host knows may be older: it counts only if no other is written within
	 * {@link #WRITE_AGAIN_NANOS}.
	 * @param order the order
	 */
	public void onOrderOfCopy(PositionedValue<RolloutOrder> order) {
		Canary current = this.canaries.get(order.value().service());
		if (current == null || current.order().value().equals(order.value())) {
			onOrder(order);
			return;
		}
		logger.info(GatewayEvents.ROLLOUT_ORDER_OF_COPY, order.value().service(), order.value().target(),
				order.offset(), current.order().value().target());
		this.ordersOfCopy.put(order.value().service(),
				new OrderOfCopy(order, this.clock.getAsLong() + WRITE_AGAIN_NANOS));
	}

	/**
	 * Called when the store has returned from an older copy: what hosts published may be
	 * lost.
	 * @param era the present era of the store
	 */
	public void storeReturned(long era) {
		this.returnedEra = OptionalLong.of(era);
		this.statuses.clear();
		this.publishers.values().forEach(RolloutPublisher::storeReturned);
	}

	// Requests of these sessions also arrive at other hosts, which must not treat them
	// as new sessions.
	private void pinRecentSessions(RolloutOrder order) {
		long now = this.clock.getAsLong();
		Canary canary = this.canaries.get(order.service());
		for (long session : this.sessions.onOtherVersions(order.target(), now - this.options.sessionNanos())) {
			canary.pinToOldVersion(session, now);
		}
	}

	/**
	 * Applies a roll-out state that was read from the store.
	 * @param status the state with its offset
	 */
	public void onStatus(PositionedValue<RolloutStatus> status) {
		this.statuses.put(status.value().service(), status);
		Canary canary = this.canaries.get(status.value().service());
		if (canary == null || !canary.isNamedBy(status.value().target(), status.value().order())) {
			return;
		}
		boolean endedBefore = canary.ended();
		canary.applyPublishedState(status.value().state(), status.value().ageMillis() * NANOS_PER_MILLI,
				this.clock.getAsLong());
		if (!endedBefore && canary.ended()) {
			logger.info(GatewayEvents.ROLLOUT_ENDED, status.value().service(), status.value().target(),
					status.value().state(), status.offset());
		}
	}

	/**
	 * Adds a host's report that was read from the store.
	 * @param report the report
	 */
	public void onReport(HostRolloutReport report) {
		this.reports.put(report.service() + '/' + report.host(), report);
		Canary canary = this.canaries.get(report.service());
		if (canary != null && canary.isNamedBy(report.target(), report.orderOffset())) {
			canary.addReport(report);
		}
	}

	/**
	 * Called after each read of the records that hosts publish; lets the progress of the
	 * roll-outs continue and writes states that waited for the read.
	 * @param end offset after the last record
	 */
	public void onRead(long end) {
		this.readUpToOffset = end;
		this.recordsRead = true;
		long now = this.clock.getAsLong();
		this.canaries.values().forEach((canary) -> canary.markStatesRead(now));
		this.publishers.values().forEach((publisher) -> publisher.onRead(end));
	}

	/**
	 * Returns the latest roll-out of a service.
	 * @param service name of the service
	 * @return the roll-out, {@code null} if none was ordered
	 */
	Canary canary(String service) {
		return this.canaries.get(service);
	}

	/**
	 * Chooses the versions to which a request may be sent.
	 * @param service service of the request
	 * @param pinKey hash of the session, or of the request if it has no session
	 * @param session whether the request belongs to a session
	 * @return group of versions, with the preferred one
	 */
	public VersionGroup chooseVersions(String service, long pinKey, boolean session) {
		Canary canary = this.canaries.get(service);
		if (canary == null) {
			return VersionGroup.ANY;
		}
		long now = this.clock.getAsLong();
		String target = canary.order().value().target();
		Optional<String> last = this.sessions.lastVersion(pinKey, now - this.options.sessionNanos());
		boolean onOld = last.map((version) -> !version.equals(target)).orElse(canary.isPinnedToOldVersion(pinKey));
		return canary.chooseVersions(pinKey, session && onOld, now);
	}

	/**
	 * Chooses the versions for a request that belongs to no session and whose answer is
	 * no stream.
	 * @param service service of the request
	 * @param pinKey hash of the request
	 * @return group of versions, with the preferred one
	 */
	public VersionGroup chooseVersionsWithoutSession(String service, long pinKey) {
		Canary canary = this.canaries.get(service);
		return (canary != null) ? canary.chooseVersionsWithoutSession(pinKey, this.clock.getAsLong())
				: VersionGroup.ANY;
	}

	/**
	 * Returns the new version of a service's latest roll-out.
	 * @param service name of the service
	 * @return the version, empty if no roll-out was ordered
	 */
	public String targetVersion(String service) {
		Canary canary = this.canaries.get(service);
		return (canary != null) ? canary.order().value().target() : "";
	}

	/**
	 * Returns the share of the sessions that goes to the new version of a service, which
	 * is also the part of its servers that receive their requests and streams.
	 * @param service name of the service
	 * @return the share, 0 to 1; 1 if no roll-out is active
	 */
	public double targetShare(String service) {
		Canary canary = this.canaries.get(service);
		return (canary != null && !canary.ended()) ? canary.targetShare(this.clock.getAsLong()) : 1;
	}

	/**
	 * Returns the part of the new version's servers that receive requests which belong to
	 * no session and whose answers are no streams.
	 * @param service name of the service
	 * @return the part, 0 to 1; 1 if no roll-out is active
	 */
	public double serverShareWithoutSession(String service) {
		Canary canary = this.canaries.get(service);
		return (canary != null && !canary.ended()) ? canary.serverShareWithoutSession(this.clock.getAsLong()) : 1;
	}

	/**
	 * Records that a request of a session is sent.
	 * @param service service of the request
	 * @param version version of the backend server
	 * @param pinKey hash of the session
	 */
	public void onRequestSent(String service, String version, long pinKey) {
		long now = this.clock.getAsLong();
		this.sessions.recordRequest(pinKey, version, now);
		Canary canary = this.canaries.get(service);
		if (canary != null && !canary.ended() && !version.equals(canary.order().value().target())) {
			canary.pinToOldVersion(pinKey, now);
		}
	}

	/**
	 * Records that a session's request is still running or has ended. The time after
	 * which the session counts as ended starts anew.
	 * @param version version of the backend server
	 * @param pinKey hash of the session
	 */
	public void onRequestActive(String version, long pinKey) {
		this.sessions.refresh(pinKey, version, this.clock.getAsLong());
	}

	/**
	 * Records an answer of a backend server.
	 * @param service service of the request
	 * @param version version of the backend server
	 * @param route route of the request
	 * @param bad whether it was a failure or several times slower than usual
	 * @param streamed whether it was a stream
	 */
	public void recordAnswer(String service, String version, String route, boolean bad, boolean streamed) {
		Canary canary = this.canaries.get(service);
		if (canary != null && !canary.ended()) {
			canary.recordAnswer(route, version.equals(canary.order().value().target()), bad, streamed,
					this.clock.getAsLong());
		}
	}

	/**
	 * Returns whether any roll-out is active. While none is, roll-out records need not be
	 * read promptly.
	 * @return whether a roll-out has not ended
	 */
	public boolean hasActiveRollout() {
		return this.canaries.values().stream().anyMatch((canary) -> !canary.ended());
	}

	/**
	 * Compares the versions of all active roll-outs, and publishes reports and states
	 * that are due. Called a few times a second.
	 */
	public void tick() {
		applyOrdersOfCopy();
		this.canaries.forEach((service, canary) -> canary.finalState()
			.filter((state) -> this.recordsRead && orderStored(canary) && !isPublished(canary, state))
			.ifPresent((state) -> this.publishers.get(service).writeLostState(state, this.readUpToOffset)));
		for (Map.Entry<String, Canary> entry : this.canaries.entrySet()) {
			if (!entry.getValue().ended()) {
				tick(entry.getValue(), this.publishers.get(entry.getKey()));
			}
		}
	}

	private void applyOrdersOfCopy() {
		long now = this.clock.getAsLong();
		List<OrderOfCopy> due = this.ordersOfCopy.values()
			.stream()
			.filter((order) -> now - order.atNanos() >= 0)
			.toList();
		due.forEach((order) -> onOrder(order.order()));
	}

	// A published state names the position of its order, which other hosts must know.
	private boolean orderStored(Canary canary) {
		return this.returnedEra.isPresent() && canary.order().position().era() == this.returnedEra.getAsLong();
	}

	private boolean isPublished(Canary canary, RolloutState state) {
		PositionedValue<RolloutStatus> published = this.statuses.get(canary.order().value().service());
		return published != null && published.value().state() == state
				&& canary.isNamedBy(published.value().target(), published.value().order());
	}

	private void tick(Canary canary, RolloutPublisher publisher) {
		boolean rollBack = canary.shouldRollBack(this.clock.getAsLong());
		if (rollBack && !canary.stopped()) {
			canary.stop();
			logger.warn(GatewayEvents.ROLLOUT_STOPPED, canary.order().value().service(),
					canary.order().value().target(), canary.ownReport().targetBadAnswers(),
					canary.ownReport().targetAnswers());
		}
		if (this.recordsRead) {
			publisher.publishReportIfDue(this.reports.size());
		}
		publisher.writeStateIfDue(this.readUpToOffset);
	}

	/**
	 * An order of the store's older copy. Immutable.
	 *
	 * @param order the order
	 * @param atNanos monotonic time from which it counts
	 */
	private record OrderOfCopy(PositionedValue<RolloutOrder> order, long atNanos) {
	}

	/**
	 * Limits for roll-outs. Immutable.
	 *
	 * @param permittedShare maximum share of the requests that a bad version may receive
	 * during a roll-out
	 * @param permittedSlack number of requests that it may receive on top of that share,
	 * from all hosts together
	 * @param hosts returns the number of hosts, this one included
	 * @param sessionNanos time without activity after which a session counts as ended, in
	 * nanoseconds
	 */
	public record Options(double permittedShare, double permittedSlack, IntSupplier hosts, long sessionNanos) {

		/**
		 * Limits without requests on top of the share.
		 * @param permittedShare maximum share of the requests that a bad version may
		 * receive during a roll-out
		 * @param sessionNanos time without activity after which a session counts as
		 * ended, in nanoseconds
		 */
		public Options(double permittedShare, long sessionNanos) {
			this(permittedShare, 0, () -> 1, sessionNanos);
		}

	}

}
