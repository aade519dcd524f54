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
 * What this host knows of the backend servers: the platform's lagging list combined with
 * what the host sees itself. Thread-safe: the list is replaced as a whole, and each
 * server's state is guarded by its own lock, which is taken after no other lock than the
 * worker's own.
 */
public final class ServerTable {

	/** The most prefixes that are remembered for one server. */
	private static final int REMEMBERED_PREFIXES = 512;

	private static final Logger LOG = LoggerFactory.getLogger(ServerTable.class);

	private final String zone;

	private final Clock clock;

	private final OutlierDetector outliers;

	private final Map<ServerId, State> states = new ConcurrentHashMap<>();

	private volatile List<BackendServer> servers = List.of();

	/**
	 * Creates an empty table.
	 * @param zone the availability zone of this host
	 * @param clock the host's time
	 * @param outliers holds back servers that fail
	 */
	public ServerTable(String zone, Clock clock, OutlierDetector outliers) {
		this.zone = zone;
		this.clock = clock;
		this.outliers = outliers;
	}

	/**
	 * Replaces the list of servers. A server that disappears receives no new work.
	 * @param listed the platform's newest list
	 */
	public void replace(List<BackendServer> listed) {
		long now = this.clock.monotonicMillis();
		Map<ServerId, Boolean> wasLeaving = new HashMap<>();
		this.servers.forEach((server) -> wasLeaving.put(server.id(), server.leaving()));
		for (BackendServer server : listed) {
			this.states.computeIfAbsent(server.id(), (id) -> new State(now));
			if (server.leaving() && !wasLeaving.getOrDefault(server.id(), false)) {
				LOG.info(RouterEvents.SERVER_LEAVING, server.id());
			}
		}
		this.servers = List.copyOf(listed);
		List<ServerId> ids = listed.stream().map(BackendServer::id).toList();
		this.states.keySet().retainAll(ids);
		this.outliers.retainOnly(ids);
	}

	/**
	 * Returns the servers on the newest list.
	 * @return the servers, leaving ones too
	 */
	public List<BackendServer> servers() {
		return this.servers;
	}

	/**
	 * Returns the servers that may receive new work for a version or service.
	 * @param kind engine or plain service
	 * @param offer the version or service
	 * @param prefixHash digest of the prompt's first part
	 * @return views of the servers that offer it and are not leaving
	 */
	public List<ServerView> offering(ServerKind kind, String offer, long prefixHash) {
		long now = this.clock.monotonicMillis();
		List<BackendServer> offering = this.servers.stream()
			.filter((server) -> server.kind() == kind && server.offers().contains(offer) && !server.leaving())
			.toList();
		Set<ServerId> ejected = this.outliers.ejectedServers(offering.stream().map(BackendServer::id).toList(), now);
		List<ServerView> views = new ArrayList<>();
		for (BackendServer server : offering) {
			State state = this.states.get(server.id());
			if (state != null) {
				views.add(view(server, state, ejected.contains(server.id()), prefixHash, now));
			}
		}
		return views;
	}

	private ServerView view(BackendServer server, State state, boolean ejected, long prefixHash, long now) {
		return state.view(server, now, this.outliers.consecutiveFailures(server.id()), ejected, prefixHash,
				server.zone().equals(this.zone));
	}

	/**
	 * Returns one server.
	 * @param id its identifier
	 * @return the server, or empty if it is not listed
	 */
	public Optional<BackendServer> server(ServerId id) {
		return this.servers.stream().filter((server) -> server.id().equals(id)).findFirst();
	}

	/**
	 * Takes a load report.
	 * @param report the report
	 */
	public void report(LoadReport report) {
		State state = this.states.get(report.server());
		if (state != null) {
			state.report(report, this.clock.monotonicMillis(), this.clock.wallMillis());
		}
	}

	/**
	 * Estimates how many requests all engines can run at one time, from the reports of
	 * those that this host watches.
	 * @return the estimate; infinite while no report is known
	 */
	public double reportedCapacity() {
		long engines = 0;
		long reporting = 0;
		long capacity = 0;
		for (BackendServer server : this.servers) {
			State state = this.states.get(server.id());
			if (server.kind() == ServerKind.ENGINE && !server.leaving() && state != null) {
				int reported = state.capacity();
				engines++;
				reporting += (reported > 0) ? 1 : 0;
				capacity += reported;
			}
		}
		return (reporting > 0) ? (double) capacity / reporting * engines : Double.POSITIVE_INFINITY;
	}

	void started(ServerId id) {
		State state = this.states.get(id);
		if (state != null) {
			state.started();
		}
	}

	void ended(ServerId id, boolean serverFailed) {
		State state = this.states.get(id);
		if (state != null) {
			state.ended();
			this.outliers.recordResult(id, serverFailed, this.clock.monotonicMillis());
		}
	}

	void prefixServed(ServerId id, long prefixHash) {
		State state = this.states.get(id);
		if (state != null) {
			state.remember(prefixHash);
		}
	}

	private static final class State {

		private final long firstSeenMillis;

		private int inFlight;

		private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > REMEMBERED_PREFIXES;
			}

		};

		private LoadReport report;

		private long observedMillis;

		private State(long firstSeenMillis) {
			this.firstSeenMillis = firstSeenMillis;
		}

		private synchronized void started() {
			this.inFlight++;
		}

		private synchronized int capacity() {
			return (this.report != null) ? this.report.capacity() : 0;
		}

		private synchronized void ended() {
			this.inFlight--;
		}

		private synchronized void remember(long prefixHash) {
			this.prefixes.put(prefixHash, true);
		}

		private synchronized void report(LoadReport newReport, long now, long wallNow) {
			this.report = newReport;
			this.observedMillis = now - Math.max(0, wallNow - newReport.observedAtMillis());
		}

		private synchronized ServerView view(BackendServer server, long now, int failures, boolean ejected,
				long prefixHash, boolean localZone) {
			LoadReport known = this.report;
			return new ServerView(server, this.inFlight, (known != null) ? known.running() : 0,
					(known != null) ? known.queued() : 0, (known != null) ? known.capacity() : 0,
					(known != null) ? now - this.observedMillis : -1, failures, ejected, now - this.firstSeenMillis,
					this.prefixes.containsKey(prefixHash) ? 1 : 0, localZone);
		}

	}

}
