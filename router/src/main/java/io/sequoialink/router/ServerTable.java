package io.sequoialink.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.sequoialink.decision.ServerView;
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

	/** Consecutive failures after which a server is held back. */
	public static final int EJECTION_FAILURES = 3;

	/** How long a server is held back after its last failure, in milliseconds. */
	public static final long EJECTION_MILLIS = 5_000;

	private static final Logger LOG = LoggerFactory.getLogger(ServerTable.class);

	private final String zone;

	private final Clock clock;

	private final Map<ServerId, State> states = new ConcurrentHashMap<>();

	private volatile List<BackendServer> servers = List.of();

	public ServerTable(String zone, Clock clock) {
		this.zone = zone;
		this.clock = clock;
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
		this.states.keySet().retainAll(listed.stream().map(BackendServer::id).toList());
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
		List<ServerView> views = new ArrayList<>();
		for (BackendServer server : this.servers) {
			State state = this.states.get(server.id());
			if (server.kind() == kind && server.offers().contains(offer) && !server.leaving() && state != null) {
				views.add(state.view(server, now, server.zone().equals(this.zone)));
			}
		}
		return views;
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

	void started(ServerId id) {
		State state = this.states.get(id);
		if (state != null) {
			state.started();
		}
	}

	void ended(ServerId id, boolean serverFailed) {
		State state = this.states.get(id);
		if (state != null && state.ended(serverFailed, this.clock.monotonicMillis())) {
			LOG.warn(RouterEvents.SERVER_EJECTED, id, EJECTION_FAILURES);
		}
	}

	private static final class State {

		private final long firstSeenMillis;

		private int inFlight;

		private int failures;

		private long lastFailureMillis;

		private LoadReport report;

		private long observedMillis;

		private State(long firstSeenMillis) {
			this.firstSeenMillis = firstSeenMillis;
		}

		private synchronized void started() {
			this.inFlight++;
		}

		private synchronized boolean ended(boolean serverFailed, long now) {
			this.inFlight--;
			this.failures = serverFailed ? this.failures + 1 : 0;
			this.lastFailureMillis = serverFailed ? now : this.lastFailureMillis;
			return this.failures == EJECTION_FAILURES;
		}

		private synchronized void report(LoadReport newReport, long now, long wallNow) {
			this.report = newReport;
			this.observedMillis = now - Math.max(0, wallNow - newReport.observedAtMillis());
		}

		private synchronized ServerView view(BackendServer server, long now, boolean localZone) {
			boolean ejected = this.failures >= EJECTION_FAILURES && now - this.lastFailureMillis < EJECTION_MILLIS;
			LoadReport known = this.report;
			return new ServerView(server, this.inFlight, (known != null) ? known.running() : 0,
					(known != null) ? known.queued() : 0, (known != null) ? known.capacity() : 0,
					(known != null) ? now - this.observedMillis : -1, this.failures, ejected,
					now - this.firstSeenMillis, 0, localZone);
		}

	}

}
