package io.sequoialink.gateway.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import io.sequoialink.decision.observation.SharedServerNotices;
import io.sequoialink.gateway.fleet.BackendService;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * States of the backend servers that have been candidates for a request. Confined to the
 * event loop. A server that restarts under the same identifier gets a new state.
 */
public final class ServerTable {

	/** Factor of the usual time from which a server counts as slow. */
	private static final double SLOW_FACTOR = 2;

	private final FleetView view;

	private final ServerNoticeTable notices;

	private final SharedServerNotices sharedNotices;

	private final ServerLimitTable limits;

	private final EvacuatedZones evacuated;

	private final ColdServerTable cold;

	private final Map<String, ServerState> states = new HashMap<>();

	private final MemoryUse memoryUse = new MemoryUse();

	private final Set<String> servicesWithSlowdown = new HashSet<>();

	/**
	 * Creates a table.
	 * @param view contains the registrations of the servers
	 * @param notices notices that servers sent to this host
	 * @param sharedNotices notices that all hosts exchange
	 * @param limits limits that servers named in their responses
	 * @param evacuated zones whose servers get no requests
	 * @param cold servers that are cold
	 */
	public ServerTable(FleetView view, ServerNoticeTable notices, SharedServerNotices sharedNotices,
			ServerLimitTable limits, EvacuatedZones evacuated, ColdServerTable cold) {
		this.view = view;
		this.notices = notices;
		this.sharedNotices = sharedNotices;
		this.limits = limits;
		this.evacuated = evacuated;
		this.cold = cold;
	}

	/**
	 * Returns the notices that servers sent to this host in responses.
	 * @return table of shutdown notices and back-offs
	 */
	public ServerNoticeTable notices() {
		return this.notices;
	}

	/**
	 * Returns the notices about servers that all hosts exchange.
	 * @return notices from this host's servers and from the gossip of other hosts
	 */
	public SharedServerNotices sharedNotices() {
		return this.sharedNotices;
	}

	/**
	 * Returns the limits that servers named in their responses.
	 * @return table of limits
	 */
	public ServerLimitTable limits() {
		return this.limits;
	}

	/**
	 * Records a load report of a server.
	 * @param state the server
	 * @param running requests in progress at the server
	 * @param waiting requests in the server's queue
	 * @param slowdownPercent how long work takes on its machine, in percent of the usual
	 * time; empty if the report does not say
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void loadReported(ServerState state, int running, int waiting, OptionalInt slowdownPercent, long nowNanos) {
		state.report(running, waiting, nowNanos);
		slowdownPercent.ifPresent((percent) -> {
			state.reportSlowdown(percent, nowNanos);
			this.servicesWithSlowdown.add(state.entry().service());
		});
	}

	/**
	 * Returns whether a service sends slowdown reports, and therefore has servers that
	 * share their machines. Admission control, load balancing by speed and estimates of
	 * the servers' memory apply to such services only.
	 * @param service name of the service
	 * @return whether one of its servers has sent such a report to this host since the
	 * host's start
	 */
	public boolean reportsSlowdown(String service) {
		return this.servicesWithSlowdown.contains(service);
	}

	/**
	 * Returns the servers that are cold.
	 * @return table of cold servers
	 */
	public ColdServerTable cold() {
		return this.cold;
	}

	/**
	 * Returns what this host's requests need of the memory of engines.
	 * @return the means
	 */
	public MemoryUse memoryUse() {
		return this.memoryUse;
	}

	/**
	 * Returns the size of the memory of each engine of a service.
	 * @param service name of the service
	 * @return tokens, 0 if the configuration states none
	 */
	public long cacheTokens(String service) {
		return this.view.configuration()
			.flatMap((known) -> known.service(service))
			.map(BackendService::cacheTokens)
			.orElse(0L);
	}

	/**
	 * Returns the number of servers whose memory is full.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return number of servers of services with slowdown reports that have no room for a
	 * request of mean size, as this host estimates
	 */
	public int fullCount(long nowNanos) {
		return (int) this.states.values()
			.stream()
			.filter((state) -> reportsSlowdown(state.entry().service()))
			.filter((state) -> full(state, nowNanos))
			.count();
	}

	private boolean full(ServerState state, long nowNanos) {
		String service = state.entry().service();
		double meanTokens = this.memoryUse.heldTokens(service);
		long capacity = cacheTokens(service);
		return capacity > 0 && state.memory().occupiedTokens(meanTokens, nowNanos) + meanTokens > capacity;
	}

	/**
	 * Returns the usable servers of a service.
	 * @param service name of the service
	 * @return states of the servers that are not shutting down, whose zone is not
	 * evacuated and whose back-off permits a request
	 */
	public List<ServerState> usableServers(String service) {
		List<ServerState> usable = new ArrayList<>();
		for (ServerEntry entry : this.view.servers(service)) {
			ServerState state = excluded(entry) ? null : state(entry);
			if (state != null && this.notices.admits(state)) {
				usable.add(state);
			}
		}
		return usable;
	}

	private boolean excluded(ServerEntry entry) {
		return entry.draining() || this.evacuated.contains(entry.zone());
	}

	/**
	 * Returns whether a service has servers, but all of them are in evacuated zones.
	 * @param service name of the service
	 * @return whether only the evacuation keeps its requests from being sent
	 */
	public boolean allEvacuated(String service) {
		List<ServerEntry> running = this.view.servers(service).stream().filter((entry) -> !entry.draining()).toList();
		return !running.isEmpty() && running.stream().allMatch(this::excluded);
	}

	/**
	 * Returns the number of evacuated zones.
	 * @return number of zones
	 */
	public int evacuatedZoneCount() {
		return this.evacuated.count();
	}

	/**
	 * Returns whether a request that was assigned to a server may still be sent to it.
	 * @param state the server
	 * @param chosenNanos monotonic time at which the server was chosen
	 * @return whether the server is still registered, its zone is not evacuated, and it
	 * has neither announced its shutdown nor, since it was chosen, asked for a back-off
	 */
	public boolean stillUsable(ServerState state, long chosenNanos) {
		ServerEntry chosen = state.entry();
		boolean registered = this.view.server(chosen.id())
			.filter((entry) -> !excluded(entry) && entry.startMillis() == chosen.startMillis())
			.isPresent();
		return registered && this.notices.stillPermits(chosen, chosenNanos);
	}

	/**
	 * Returns the time until the first server of a service takes requests again after a
	 * back-off.
	 * @param service name of the service
	 * @return time in milliseconds, empty if no server has a back-off
	 */
	public OptionalLong backoffMillis(String service) {
		return this.view.servers(service)
			.stream()
			.filter((entry) -> !excluded(entry) && !this.notices.shuttingDown(entry))
			.mapToLong(this.notices::backoffMillis)
			.filter((millis) -> millis > 0)
			.min();
	}

	private ServerState state(ServerEntry entry) {
		ServerState known = this.states.get(entry.id());
		if (known == null || known.entry().startMillis() != entry.startMillis()) {
			known = new ServerState(entry);
			this.states.put(entry.id(), known);
		}
		known.update(entry);
		return known;
	}

	/**
	 * Returns what this host knows about a server's load and failures.
	 * @param id identifier of the server
	 * @return the state, if the server has been a candidate for a request
	 */
	public Optional<ServerState> find(String id) {
		return Optional.ofNullable(this.states.get(id));
	}

	/**
	 * Returns the name of an incarnation for log messages.
	 * @param incarnation hash of the incarnation
	 * @return identifier of the server, or the hash in hexadecimal if the server was
	 * never a candidate
	 */
	public String displayName(long incarnation) {
		return this.states.values()
			.stream()
			.filter((state) -> state.incarnation() == incarnation)
			.map((state) -> state.entry().id())
			.findAny()
			.orElseGet(() -> Long.toHexString(incarnation));
	}

	/**
	 * Returns the number of servers that this host avoids because they are slow.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return number of servers of services with slowdown reports at which work takes at
	 * least twice the usual time
	 */
	public int slowCount(long nowNanos) {
		return (int) this.states.values()
			.stream()
			.filter((state) -> reportsSlowdown(state.entry().service()))
			.filter((state) -> state.speed().factor(nowNanos) >= SLOW_FACTOR)
			.count();
	}

	/**
	 * Returns the number of registered servers that announced a shutdown.
	 * @return number of servers
	 */
	public int shuttingDownCount() {
		return (int) this.view.servers().stream().filter(this.notices::shuttingDown).count();
	}

	/**
	 * Returns the number of registered servers with a back-off (period in which they want
	 * no requests).
	 * @return number of servers
	 */
	public int backoffCount() {
		return (int) this.view.servers().stream().filter((entry) -> this.notices.backoffMillis(entry) > 0).count();
	}

	/**
	 * Removes the states of servers that are no longer registered and have no attempts in
	 * progress.
	 */
	public void prune() {
		this.states.values()
			.removeIf((state) -> state.inFlight() == 0 && this.view.server(state.entry().id()).isEmpty());
	}

}
