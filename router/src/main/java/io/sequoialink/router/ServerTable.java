package io.sequoialink.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.sequoialink.decision.ServerView;
import io.sequoialink.decision.routing.OutlierDetector;
import io.sequoialink.model.BackendServer;
import io.sequoialink.model.LoadReport;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.ServerKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The backend servers on the platform's list as this host last read it, which may be
 * outdated, and what this host knows of each: the load that the server reported, the
 * requests in flight from this host, and their failures. Thread-safe: the list is
 * replaced as a whole, and each server's state has its own lock; no other lock is
 * acquired while that one is held.
 */
public final class ServerTable {

	/** Maximum number of recent prompt prefixes kept for one server. */
	private static final int MAX_PREFIXES_PER_SERVER = 512;

	private static final Logger LOG = LoggerFactory.getLogger(ServerTable.class);

	private final String zone;

	private final Clock clock;

	private final OutlierDetector outliers;

	private final Map<ServerId, ServerState> states = new ConcurrentHashMap<>();

	private volatile List<BackendServer> servers = List.of();

	/**
	 * Creates an empty table.
	 * @param zone the availability zone of this host
	 * @param clock the time source of the host
	 * @param outliers ejects servers that fail repeatedly
	 */
	public ServerTable(String zone, Clock clock, OutlierDetector outliers) {
		this.zone = zone;
		this.clock = clock;
		this.outliers = outliers;
	}

	/**
	 * Replaces the list of servers. Servers that are no longer listed receive no new
	 * requests.
	 * @param listed the current list of the platform
	 */
	public void replaceServers(List<BackendServer> listed) {
		long now = this.clock.monotonicMillis();
		Map<ServerId, Boolean> wasShuttingDown = new HashMap<>();
		this.servers.forEach((server) -> wasShuttingDown.put(server.id(), server.leaving()));
		for (BackendServer server : listed) {
			this.states.computeIfAbsent(server.id(), (id) -> new ServerState(now));
			if (server.leaving() && !wasShuttingDown.getOrDefault(server.id(), false)) {
				LOG.info(RouterEvents.SERVER_SHUTTING_DOWN, server.id());
			}
		}
		this.servers = List.copyOf(listed);
		List<ServerId> ids = listed.stream().map(BackendServer::id).toList();
		this.states.keySet().retainAll(ids);
		this.outliers.retainOnly(ids);
	}

	/**
	 * Returns the servers on the current list.
	 * @return the servers, including those that are shutting down
	 */
	public List<BackendServer> servers() {
		return this.servers;
	}

	/**
	 * Returns the servers that may receive requests for a version or service.
	 * @param kind whether engines or servers of plain services are wanted
	 * @param offer the identifier of the version or service
	 * @param prefixHash hash of the prompt prefix; 0 for plain services
	 * @return the servers that offer it and are not shutting down, including ejected ones
	 */
	public List<ServerView> availableServers(ServerKind kind, String offer, long prefixHash) {
		long now = this.clock.monotonicMillis();
		List<BackendServer> offering = this.servers.stream()
			.filter((server) -> server.kind() == kind && server.offers().contains(offer) && !server.leaving())
			.toList();
		Set<ServerId> ejected = this.outliers.ejectedServers(offering.stream().map(BackendServer::id).toList(), now);
		List<ServerView> views = new ArrayList<>();
		for (BackendServer server : offering) {
			ServerState state = this.states.get(server.id());
			if (state != null) {
				views.add(view(server, state, ejected.contains(server.id()), prefixHash, now));
			}
		}
		return views;
	}

	private ServerView view(BackendServer server, ServerState state, boolean ejected, long prefixHash, long now) {
		return state.view(server, now, this.outliers.consecutiveFailures(server.id()), ejected, prefixHash,
				server.zone().equals(this.zone));
	}

	/**
	 * Returns the server with the given identifier.
	 * @param id the identifier
	 * @return the server, or empty if it is not on the current list
	 */
	public Optional<BackendServer> server(ServerId id) {
		return this.servers.stream().filter((server) -> server.id().equals(id)).findFirst();
	}

	/**
	 * Records the load that a server reported. Ignored if the server is not listed.
	 * @param report the load report
	 */
	public void recordLoad(LoadReport report) {
		ServerState state = this.states.get(report.server());
		if (state != null) {
			state.recordLoad(report, this.clock.monotonicMillis(), this.clock.wallMillis());
		}
	}

	/**
	 * Estimates how many requests all engines together can run concurrently. Engines
	 * without a report count with the mean of those that reported.
	 * @return the estimate; infinite while there is no report
	 */
	public double estimatedEngineCapacity() {
		long engines = 0;
		long reporting = 0;
		long capacity = 0;
		for (BackendServer server : this.servers) {
			ServerState state = this.states.get(server.id());
			if (server.kind() == ServerKind.ENGINE && !server.leaving() && state != null) {
				int reported = state.capacity();
				engines++;
				reporting += (reported > 0) ? 1 : 0;
				capacity += reported;
			}
		}
		return (reporting > 0) ? (double) capacity / reporting * engines : Double.POSITIVE_INFINITY;
	}

	/**
	 * Adds one to the number of requests that are in flight from this host to a server.
	 * Ignored if the server is not listed.
	 * @param id the server
	 */
	void recordDispatch(ServerId id) {
		ServerState state = this.states.get(id);
		if (state != null) {
			state.recordDispatch();
		}
	}

	/**
	 * Subtracts one from the number of requests in flight to a server, and reports the
	 * outcome of the request to the outlier detection, which ejects failing servers.
	 * Ignored if the server is not listed.
	 * @param id the server
	 * @param serverFailed whether the request counts as a failure of the server
	 */
	void recordEnd(ServerId id, boolean serverFailed) {
		ServerState state = this.states.get(id);
		if (state != null) {
			state.recordEnd();
			this.outliers.recordResult(id, serverFailed, this.clock.monotonicMillis());
		}
	}

	/**
	 * Records that a server has processed a prompt prefix, which it may now hold in its
	 * prefix cache.
	 * @param id the server
	 * @param prefixHash hash of the prompt prefix
	 */
	void recordPrefix(ServerId id, long prefixHash) {
		ServerState state = this.states.get(id);
		if (state != null) {
			state.recordPrefix(prefixHash);
		}
	}

	private static final class ServerState {

		private final long firstSeenMillis;

		private int inFlight;

		private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > MAX_PREFIXES_PER_SERVER;
			}

		};

		private LoadReport loadReport;

		private long reportedAtMillis;

		private ServerState(long firstSeenMillis) {
			this.firstSeenMillis = firstSeenMillis;
		}

		private synchronized void recordDispatch() {
			this.inFlight++;
		}

		private synchronized int capacity() {
			return (this.loadReport != null) ? this.loadReport.capacity() : 0;
		}

		private synchronized void recordEnd() {
			this.inFlight--;
		}

		private synchronized void recordPrefix(long prefixHash) {
			this.prefixes.put(prefixHash, true);
		}

		private synchronized void recordLoad(LoadReport report, long now, long wallNow) {
			this.loadReport = report;
			this.reportedAtMillis = now - Math.max(0, wallNow - report.observedAtMillis());
		}

		private synchronized ServerView view(BackendServer server, long now, int failures, boolean ejected,
				long prefixHash, boolean localZone) {
			LoadReport known = this.loadReport;
			return new ServerView(server, this.inFlight, (known != null) ? known.running() : 0,
					(known != null) ? known.queued() : 0, (known != null) ? known.capacity() : 0,
					(known != null) ? now - this.reportedAtMillis : -1, failures, ejected, now - this.firstSeenMillis,
					this.prefixes.containsKey(prefixHash) ? 1 : 0, localZone);
		}

	}

}
