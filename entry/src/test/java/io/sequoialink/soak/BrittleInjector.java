package io.sequoialink.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets the servers of the service "small" say at random times that they are brittle, and
 * sends them more requests than they have room for meanwhile. Thread-safe.
 */
final class BrittleInjector {

	private static final Logger logger = LoggerFactory.getLogger(BrittleInjector.class);

	/** Number of servers of the service. */
	static final int SERVERS = 3;

	private static final int[] REJECTIONS = { 1, 2, 4, 8 };

	private static final int CLIENTS = 24;

	private static final int SEED_MASK = 0xB217;

	private final Random random;

	private final BackendServerPool servers;

	private final PromiseChecker checker;

	private final DisturbanceTracker disturbances;

	private final HostLoadBalancer loadBalancer;

	private boolean active;

	BrittleInjector(long seed, BackendServerPool servers, PromiseChecker checker, HostLoadBalancer loadBalancer,
			DisturbanceTracker disturbances) {
		this.disturbances = disturbances;
		this.random = new Random(seed ^ SEED_MASK);
		this.servers = servers;
		this.checker = checker;
		this.loadBalancer = loadBalancer;
	}

	/**
	 * Makes the servers brittle for some time (in 1 of 6 calls, unless they are);
	 * otherwise does nothing.
	 */
	void makeBrittleAtRandom() {
		int draw = this.random.nextInt(6);
		int millis = Bounds.STABILIZATION_MILLIS + 1500 + this.random.nextInt(5000);
		int rejections = REJECTIONS[this.random.nextInt(REJECTIONS.length)];
		long seed = this.random.nextLong();
		boolean calm = this.random.nextInt(3) > 0;
		if (draw == 0 && begin()) {
			DaemonThreads.start("brittle", () -> run(rejections, millis, seed, calm));
		}
	}

	private synchronized boolean begin() {
		boolean begins = !this.active;
		this.active = true;
		return begins;
	}

	private void run(int rejections, int millis, long seed, boolean calm) {
		if (calm) {
			this.disturbances.beginStoreCalm();
		}
		logger.info("servers are brittle for {} ms, {} rejections a second", millis, rejections);
		this.checker.recordBrittle(SERVERS);
		this.servers.setBrittle(rejections);
		long until = System.nanoTime() + Bounds.millisToNanos(millis);
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			Client client = new Client(this.checker, "acme", seed + i);
			clients.add(DaemonThreads.start("small-client", () -> send(client, until)));
		}
		DaemonThreads.sleep(millis);
		this.servers.endBrittle();
		this.checker.recordBrittleEnded();
		if (calm) {
			this.disturbances.endStoreCalm();
		}
		for (Thread client : clients) {
			try {
				client.join();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		synchronized (this) {
			this.active = false;
		}
	}

	private void send(Client client, long until) {
		while (System.nanoTime() - until < 0) {
			client.sendWithRetries(this.loadBalancer, TrackedRequest.Kind.SMALL, "/small/x", "work");
			DaemonThreads.sleep(5);
		}
		client.close();
	}

	synchronized boolean idle() {
		return !this.active;
	}

}
