package io.sequoialink.gateway.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.limits.AccountDemand;
import io.sequoialink.decision.limits.CapacityDecision;
import io.sequoialink.decision.limits.CapacityPolicy;
import io.sequoialink.decision.limits.CapacityRequest;
import io.sequoialink.decision.limits.ServiceCapacity;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.count.LabelledCounters;
import io.sequoialink.gateway.feed.EventLoopTimer;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.place.ServerTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps what {@link CapacityPolicy} decides on for each service: the reports and
 * rejections of its servers, the demand of the accounts, and the requests that are held.
 * Confined to the event loop.
 *
 * <p>
 * Invariants: services for which it is not in force are never restricted; a held request
 * is decided on again after the time of its decision at the latest; at most
 * {@link #MAX_HELD} requests are held, further ones are rejected; at most
 * {@link #MAX_SERVICES} services are remembered, besides those with held requests. State
 * is neither shared with other hosts nor stored, so a host that starts sends as if there
 * were no shortage until it has heard of one.
 */
public final class AdmissionControl {

	private static final Logger logger = LoggerFactory.getLogger(AdmissionControl.class);

	/** Limit of the requests held at the same time, for the memory that they take. */
	private static final int MAX_HELD = 256;

	private static final int MAX_SERVICES = 256;

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final Predicate<String> inForce;

	private final ServerTable servers;

	private final LabelledCounters refused;

	private final EventLoopTimer timer;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private final Map<String, Service> services = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Service> eldest) {
			return size() > MAX_SERVICES && eldest.getValue().held.isEmpty();
		}
	};

	private int held;

	/**
	 * Creates an admission control that knows of no shortage.
	 * @param inForce whether it is in force for a service, given the service's name
	 * @param servers known servers
	 * @param refused counts the rejected requests by service and priority
	 * @param timer schedules the end of holds
	 * @param clock monotonic time in nanoseconds
	 * @param random source of the random numbers by which requests are chosen
	 */
	public AdmissionControl(Predicate<String> inForce, ServerTable servers, LabelledCounters refused,
			EventLoopTimer timer, LongSupplier clock, RandomGenerator random) {
		this.inForce = inForce;
		this.servers = servers;
		this.refused = refused;
		this.timer = timer;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Decides on a request that is about to be sent, and counts it the first time.
	 * @param ticket the request
	 * @param remainingMillis time until its deadline, in milliseconds
	 * @return the decision; after {@link CapacityDecision.Kind#HOLD} the caller calls
	 * {@link #hold}
	 */
	public CapacityDecision decide(AdmissionTicket ticket, long remainingMillis) {
		if (!this.inForce.test(ticket.service())) {
			return CapacityDecision.send();
		}
		long now = this.clock.getAsLong();
		Service service = service(ticket.service());
		if (ticket.count()) {
			service.demand.arrived(ticket.account(), ticket.priority(), this.random.nextDouble(), now);
		}
		CapacityDecision decision = CapacityPolicy.decide(service.capacity, service.demand,
				new CapacityRequest(ticket.account(), ticket.priority(), ticket.targetMillis(), remainingMillis,
						ticket.heldNanos(now) / NANOS_PER_MILLI, incarnations(ticket.service())),
				now);
		boolean tooMany = decision.kind() == CapacityDecision.Kind.HOLD && this.held >= MAX_HELD;
		return record(ticket, tooMany ? CapacityDecision.reject("too many requests are held") : decision, service, now);
	}

	private CapacityDecision record(AdmissionTicket ticket, CapacityDecision decision, Service service, long now) {
		if (decision.kind() == CapacityDecision.Kind.REJECT) {
			logger.info(GatewayEvents.REFUSED_FOR_ROOM, ticket.id(), ticket.service(), ticket.account(),
					ticket.priority(), ticket.heldNanos(now) / NANOS_PER_MILLI, decision.reason(),
					service.capacity.ageMillis(now));
			this.refused.increment(ticket.service(), String.valueOf(ticket.priority()));
			ticket.reset();
		}
		if (decision.kind() == CapacityDecision.Kind.SEND) {
			logHeld(ticket, "sent", service, now);
		}
		return decision;
	}

	private static void logHeld(AdmissionTicket ticket, String outcome, Service service, long now) {
		if (ticket.everHeld()) {
			logger.info(GatewayEvents.HELD_FOR_ROOM, ticket.id(), ticket.service(), ticket.account(), ticket.priority(),
					ticket.heldNanos(now) / NANOS_PER_MILLI, ticket.reason(), service.capacity.ageMillis(now), outcome);
			ticket.reset();
		}
	}

	/**
	 * Holds a request until a report shows room, or until its time is over.
	 * @param ticket the request
	 * @param decision the decision to hold it
	 * @param decideAgain decides on the request again
	 */
	public void hold(AdmissionTicket ticket, CapacityDecision decision, Runnable decideAgain) {
		Service service = service(ticket.service());
		ticket.hold(decideAgain, decision.reason(), this.clock.getAsLong());
		service.held.add(ticket);
		this.held++;
		this.timer.schedule(() -> {
			if (ticket.held()) {
				release(service, ticket);
			}
		}, decision.waitMillis());
	}

	private void release(Service service, AdmissionTicket ticket) {
		service.held.remove(ticket);
		this.held--;
		ticket.release().run();
	}

	/**
	 * A request has ended. If it was held, it is dropped.
	 * @param ticket the request
	 */
	public void ended(AdmissionTicket ticket) {
		Service service = this.services.get(ticket.service());
		if (service == null) {
			return;
		}
		if (ticket.held()) {
			service.held.remove(ticket);
			this.held--;
		}
		logHeld(ticket, "ended", service, this.clock.getAsLong());
	}

	/**
	 * Records a load report of a server, and decides again on as many held requests as it
	 * has free slots for, the most urgent ones first.
	 * @param server the server
	 * @param running requests that it is processing
	 * @param waiting requests in its queue
	 * @param slots requests that it can process concurrently
	 * @param targetMillis target latency of the request whose response brought the
	 * report, in milliseconds; 0 if it has none
	 */
	public void reported(ServerState server, int running, int waiting, int slots, long targetMillis) {
		if (!this.inForce.test(server.entry().service()) || slots <= 0) {
			return;
		}
		Service service = service(server.entry().service());
		service.capacity.reported(server.incarnation(), running, waiting, slots, targetMillis, this.clock.getAsLong());
		if (!service.held.isEmpty() && !service.capacity.full(server.incarnation(), this.clock.getAsLong())) {
			wake(service, Math.max(1, slots - running));
		}
	}

	private void wake(Service service, int count) {
		List<AdmissionTicket> woken = new ArrayList<>(service.held);
		woken.sort(Comparator.comparingInt(AdmissionTicket::priority));
		woken.stream()
			.limit(count)
			.toList()
			.stream()
			.filter(AdmissionTicket::held)
			.forEach((ticket) -> release(service, ticket));
	}

	/**
	 * A server rejected a request, because it is full.
	 * @param server the server
	 */
	public void rejected(ServerState server) {
		if (this.inForce.test(server.entry().service())) {
			service(server.entry().service()).capacity.rejected(server.incarnation(), this.clock.getAsLong());
		}
	}

	/**
	 * Records for how long a server worked on a request that did not wait in its queue.
	 * @param server the server
	 * @param millis duration in milliseconds
	 */
	public void worked(ServerState server, double millis) {
		if (this.inForce.test(server.entry().service())) {
			service(server.entry().service()).capacity.worked(millis);
		}
	}

	/**
	 * Returns whether a server has become full since a given time.
	 * @param server the server
	 * @param sinceNanos monotonic time in nanoseconds
	 * @return whether it rejected a request since and would probably reject another one
	 */
	public boolean becameFull(ServerState server, long sinceNanos) {
		Service service = this.services.get(server.entry().service());
		return service != null && service.capacity.fullSince(server.incarnation(), sinceNanos, this.clock.getAsLong());
	}

	/**
	 * Returns the servers of a service that are full.
	 * @param service name of the service
	 * @return their identifiers
	 */
	public Set<String> fullServers(String service) {
		Set<String> full = new HashSet<>();
		Service known = this.services.get(service);
		if (known != null && known.capacity.anyFull(this.clock.getAsLong())) {
			for (ServerState state : this.servers.usableServers(service)) {
				if (known.capacity.full(state.incarnation(), this.clock.getAsLong())) {
					full.add(state.entry().id());
				}
			}
		}
		return full;
	}

	/**
	 * Returns the requests a second that this host may send to a service.
	 * @param name name of the service
	 * @return requests per second
	 */
	public double capacityPerSecond(String name) {
		long now = this.clock.getAsLong();
		Service service = service(name);
		return service.capacity.share(now) * service.demand.totalPerSecond(now);
	}

	/**
	 * Returns the time until the first server of a service may have room.
	 * @param name name of the service
	 * @return time in nanoseconds, 0 if one is not known to be full
	 */
	public long fullNanos(String name) {
		return service(name).capacity.fullNanos(incarnations(name), this.clock.getAsLong());
	}

	/**
	 * Returns the number of requests that are held.
	 * @return requests of all services
	 */
	public int held() {
		return this.held;
	}

	private List<Long> incarnations(String service) {
		return this.servers.usableServers(service).stream().map(ServerState::incarnation).toList();
	}

	private Service service(String name) {
		return this.services.computeIfAbsent(name, (absent) -> new Service());
	}

	/** What is known of one service. */
	private static final class Service {

		private final ServiceCapacity capacity = new ServiceCapacity();

		private final AccountDemand demand = new AccountDemand();

		private final List<AdmissionTicket> held = new ArrayList<>();

	}

}
