package io.sequoialink.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The simulated backend servers and their records in the store. Thread-safe.
 */
final class BackendServerPool {

	private static final Logger logger = LoggerFactory.getLogger(BackendServerPool.class);

	/**
	 * Time after a crash until the record of the server is deleted and a new server is
	 * started, in milliseconds.
	 */
	private static final int RESTART_DELAY_MILLIS = 1500;

	/** Services whose servers have faults of their own only. */
	private static final Set<String> NEVER_PICKED = Set.of("small", SecondAnswers.SERVICE);

	private final SimulatedStore store;

	private final PromiseChecker checker;

	private final DisturbanceTracker disturbances;

	private final List<SimulatedBackendServer> running = new ArrayList<>();

	private final List<SimulatedBackendServer> draining = new ArrayList<>();

	private int startedCount;

	private volatile List<HostProcess> hosts = List.of();

	private int rejections = Integer.MIN_VALUE;

	BackendServerPool(SimulatedStore store, PromiseChecker checker, DisturbanceTracker disturbances) {
		this.store = store;
		this.checker = checker;
		this.disturbances = disturbances;
	}

	synchronized void startServer(String service) {
		try {
			this.startedCount++;
			SimulatedBackendServer server = new SimulatedBackendServer(this.checker, this.disturbances, service,
					"i-" + this.startedCount, this.startedCount);
			InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.link().port());
			this.hosts.forEach((host) -> host.paths().address(address));
			server.onClose(() -> onPaths((paths) -> paths.refuse(address)),
					() -> onPaths((paths) -> paths.remove(address)));
			this.running.add(server);
			if (this.rejections >= 0 && service.equals("small")) {
				server.brittleness().begin(this.rejections, System.nanoTime());
			}
			this.store.put("servers", server.name(), server.storeRecord(false));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void onPaths(PathAction action) {
		for (HostProcess host : this.hosts) {
			try {
				action.run(host.paths());
			}
			catch (IOException ex) {
				logger.warn("could not close a path of {}", host.name(), ex);
			}
		}
	}

	/**
	 * Sets the hosts whose paths to servers are opened from now on.
	 * @param all the hosts
	 */
	void setHosts(List<HostProcess> all) {
		this.hosts = all;
	}

	/**
	 * Makes the servers of the service "small" brittle.
	 * @param bearable rejections in a second that they bear
	 */
	synchronized void setBrittle(int bearable) {
		this.rejections = bearable;
		ofService("small").forEach((server) -> server.brittleness().begin(bearable, System.nanoTime()));
	}

	synchronized void endBrittle() {
		this.rejections = Integer.MIN_VALUE;
		ofService("small").forEach((server) -> server.brittleness().end());
	}

	/**
	 * Picks a random server that has not crashed.
	 * @param random source of the random number
	 * @return the server, empty if all have crashed
	 */
	synchronized Optional<SimulatedBackendServer> pick(Random random) {
		List<SimulatedBackendServer> available = this.running.stream()
			.filter((server) -> !server.isClosed() && !NEVER_PICKED.contains(server.service()))
			.toList();
		return available.isEmpty() ? Optional.empty() : Optional.of(available.get(random.nextInt(available.size())));
	}

	/**
	 * Returns the servers of a service that have not crashed.
	 * @param service name of the service
	 * @return the servers
	 */
	synchronized List<SimulatedBackendServer> ofService(String service) {
		return this.running.stream()
			.filter((server) -> server.service().equals(service) && !server.isClosed())
			.toList();
	}

	private synchronized void remove(SimulatedBackendServer server) {
		this.running.remove(server);
	}

	/**
	 * Writes the records of all servers again after the store has returned from an older
	 * copy, and deletes those of servers that have ended, as the platform does.
	 */
	synchronized void writeAgain() {
		List<String> alive = new ArrayList<>();
		for (SimulatedBackendServer server : this.running) {
			if (!server.isClosed()) {
				this.store.put("servers", server.name(), server.storeRecord(false));
				alive.add(server.name());
			}
		}
		for (SimulatedBackendServer server : this.draining) {
			this.store.put("servers", server.name(), server.storeRecord(true));
			alive.add(server.name());
		}
		this.store.keys("servers")
			.stream()
			.filter((name) -> !alive.contains(name))
			.forEach((name) -> this.store.put("servers", name, ""));
	}

	private synchronized void beginDraining(SimulatedBackendServer server) {
		this.draining.add(server);
		this.store.put("servers", server.name(), server.storeRecord(true));
	}

	private synchronized void endDraining(SimulatedBackendServer server) {
		this.draining.remove(server);
		this.store.put("servers", server.name(), "");
	}

	/**
	 * Starts replacements for crashed servers in the background.
	 */
	void replaceCrashed() {
		List<SimulatedBackendServer> crashed;
		synchronized (this) {
			crashed = this.running.stream().filter(SimulatedBackendServer::isClosed).toList();
			this.running.removeAll(crashed);
		}
		crashed.forEach((server) -> DaemonThreads.start("replace", () -> replace(server)));
	}

	private void replace(SimulatedBackendServer crashed) {
		DaemonThreads.sleep(RESTART_DELAY_MILLIS);
		this.store.put("servers", crashed.name(), "");
		startServer(crashed.service());
	}

	/**
	 * Drains a server with a record in the store, starts another one in its place, and
	 * stops the server after the drain time and one request timeout. Blocks until then.
	 * @param server the server
	 */
	void drain(SimulatedBackendServer server) {
		startServer(server.service());
		remove(server);
		server.announceShutdown();
		beginDraining(server);
		server.markDrainAccepted();
		DaemonThreads.sleep(Bounds.DRAIN_MILLIS + Bounds.REQUEST_TIMEOUT_MILLIS);
		this.disturbances.begin(server.name());
		endDraining(server);
		server.close();
	}

	/**
	 * Like {@link #drain}, but the server announces its shutdown only in responses; its
	 * record in the store says ready until it stops.
	 * @param server the server
	 */
	void drainWithoutStoreRecord(SimulatedBackendServer server) {
		startServer(server.service());
		remove(server);
		server.announceShutdown();
		DaemonThreads.sleep(Bounds.DRAIN_MILLIS + Bounds.REQUEST_TIMEOUT_MILLIS);
		this.disturbances.begin(server.name());
		this.store.put("servers", server.name(), "");
		server.close();
	}

	synchronized void close() {
		this.running.forEach(SimulatedBackendServer::close);
	}

	/** Changes the paths of one host. */
	@FunctionalInterface
	private interface PathAction {

		void run(ServerPaths paths) throws IOException;

	}

}
