package io.sequoialink.soak;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Chooses faults at random from a seed and injects them into hosts, servers, links and
 * the store, up to three at a time and one per component. Thread-safe.
 */
final class FaultInjector {

	private static final Logger logger = LoggerFactory.getLogger(FaultInjector.class);

	private static final int MAX_CONCURRENT = 3;

	private static final int SIGNAL_SEED_MASK = 0x5EED;

	private final Random random;

	/**
	 * Separate source of random numbers for server signals: they were added later, and
	 * the faults of a seed must stay the same.
	 */
	private final Random signalRandom;

	private final DisturbanceTracker disturbances;

	private final SimulatedStore store;

	private final List<HostProcess> hosts;

	private final BackendServerPool servers;

	private final Set<String> busyTargets = new HashSet<>();

	private int activeCount;

	FaultInjector(long seed, DisturbanceTracker disturbances, SimulatedStore store, List<HostProcess> hosts,
			BackendServerPool servers) {
		this.random = new Random(seed);
		this.signalRandom = new Random(seed ^ SIGNAL_SEED_MASK);
		this.disturbances = disturbances;
		this.store = store;
		this.hosts = hosts;
		this.servers = servers;
	}

	/**
	 * Starts the next fault in the background; skips it if too many are active or its
	 * component already has one. Draws the random numbers first, so that a skipped fault
	 * does not change the later ones (except a reload, which draws its ratio when it
	 * runs).
	 */
	void injectRandomFault() {
		int draw = this.random.nextInt(16);
		int millis = 500 + this.random.nextInt(3500);
		HostProcess host = this.hosts.get(this.random.nextInt(this.hosts.size()));
		Optional<SimulatedBackendServer> picked = this.servers.pick(this.random);
		LinkProxy.Mode mode = LinkProxy.Mode.values()[1 + this.random.nextInt(4)];
		SimulatedStore.Fault storeFault = SimulatedStore.Fault.values()[1 + this.random.nextInt(4)];
		switch (draw) {
			case 0, 1 -> onHost("kill", host, () -> killAndRestart(host, millis / 4));
			case 2, 3, 4 -> restartGracefully(host);
			case 5, 6 -> onHost("pause", host, () -> pause(host, millis));
			case 7 -> start("reload", host.name() + " reload", () -> reload(host));
			case 8, 9 -> onHost("store link " + mode, host, () -> impairLink(host.storeLink(), mode, millis));
			case 10 -> onStore(storeFault, millis);
			case 11 -> start("truncate", "store history", this::truncateHistory);
			default -> picked.ifPresent((server) -> onServer(draw, server, mode, millis));
		}
	}

	/**
	 * Makes a random server announce its shutdown (in 1 of 10 calls) or ask hosts to back
	 * off (in 2 of 10); otherwise does nothing.
	 */
	void sendRandomServerSignal() {
		int draw = this.signalRandom.nextInt(10);
		int millis = 1000 + this.signalRandom.nextInt(4000);
		Optional<SimulatedBackendServer> picked = this.servers.pick(this.signalRandom);
		picked.filter((server) -> draw == 0)
			.ifPresent((server) -> start("announce shutdown", server.name(),
					() -> this.servers.drainWithoutStoreRecord(server)));
		picked.filter((server) -> draw == 1 || draw == 2)
			.ifPresent((server) -> start("request back-off", server.name(), () -> requestBackoff(server, millis)));
	}

	private static void requestBackoff(SimulatedBackendServer server, int millis) {
		server.requestBackoff(millis);
		DaemonThreads.sleep(millis);
	}

	private void onServer(int draw, SimulatedBackendServer server, LinkProxy.Mode mode, int millis) {
		switch (draw) {
			case 12 -> start("crash", server.name(), server::crash);
			case 13 -> start("drain", server.name(), () -> this.servers.drain(server));
			case 14 -> onServer("hang", server, () -> hang(server, millis));
			default -> onServer("link " + mode, server, () -> impairLink(server.link(), mode, millis));
		}
	}

	private void onHost(String fault, HostProcess host, Action action) {
		start(fault, host.name(), () -> whileDisturbed(host.name(), action));
	}

	private void onServer(String fault, SimulatedBackendServer server, Action action) {
		start(fault, server.name(), () -> whileDisturbed(server.name(), action));
	}

	private void onStore(SimulatedStore.Fault fault, int millis) {
		start("store " + fault, "store", () -> whileDisturbed("store", () -> {
			this.store.setFault(fault);
			DaemonThreads.sleep(millis);
			this.store.setFault(SimulatedStore.Fault.NONE);
		}));
	}

	private void whileDisturbed(String name, Action action) throws IOException {
		this.disturbances.begin(name);
		try {
			action.run();
		}
		finally {
			this.disturbances.end(name);
		}
	}

	private synchronized void start(String fault, String target, Action action) {
		boolean calm = target.equals("store") && this.disturbances.storeCalm();
		if (calm || this.activeCount >= MAX_CONCURRENT || !this.busyTargets.add(target)) {
			return;
		}
		this.activeCount++;
		logger.info("starting fault: {} at {}", fault, target);
		DaemonThreads.start("fault", () -> {
			try {
				action.run();
			}
			catch (IOException ex) {
				logger.error("could not inject fault {} at {}", fault, target, ex);
			}
			finally {
				finished(target);
			}
		});
	}

	private synchronized void finished(String target) {
		this.activeCount--;
		this.busyTargets.remove(target);
	}

	synchronized boolean idle() {
		return this.activeCount == 0;
	}

	private static void killAndRestart(HostProcess host, int millis) throws IOException {
		host.kill();
		DaemonThreads.sleep(millis);
		host.start();
		DaemonThreads.sleep(1500);
	}

	// Only the restart counts as a disturbance: a host that is stopping gracefully must
	// meet its guarantees.
	private void restartGracefully(HostProcess host) {
		start("stop", host.name(), () -> {
			host.stopGracefully();
			whileDisturbed(host.name(), () -> {
				host.start();
				DaemonThreads.sleep(1500);
			});
		});
	}

	private static void pause(HostProcess host, int millis) throws IOException {
		host.signal("STOP");
		DaemonThreads.sleep(millis);
		host.signal("CONT");
	}

	private void reload(HostProcess host) throws IOException {
		if (host.alive()) {
			host.writeSettings(0.85 + this.random.nextInt(10) / 100.0);
			host.signal("HUP");
		}
		DaemonThreads.sleep(500);
	}

	private void truncateHistory() {
		this.store.truncateHistory("op");
		this.store.truncateHistory("servers");
	}

	private static void hang(SimulatedBackendServer server, int millis) {
		server.setHanging(true);
		DaemonThreads.sleep(millis);
		server.setHanging(false);
	}

	private static void impairLink(LinkProxy link, LinkProxy.Mode mode, int millis) {
		link.setMode(mode);
		DaemonThreads.sleep(millis);
		link.setMode(LinkProxy.Mode.PASS);
	}

	/** Injects one fault and returns when it is over. */
	@FunctionalInterface
	private interface Action {

		void run() throws IOException;

	}

}
