package io.sequoialink.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One run of the soak test: starts hosts, backend servers and clients, injects faults and
 * collects the violated guarantees. {@link #run()} and {@link #close()} are called by one
 * thread; the state shared with the threads of clients and faults is thread-safe. A
 * shutdown hook ends the host processes with this process.
 */
public final class Soak implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Soak.class);

	private static final int SERVERS_PER_SERVICE = 5;

	private static final int CLIENTS_PER_HOST = 4;

	private static final int PAIR_CLIENTS_PER_HOST = 3;

	/** Deadline of requests to servers that answer twice and hang, in milliseconds. */
	private static final int PAIR_DEADLINE_MILLIS = 1000;

	private static final int START_TIMEOUT_MILLIS = 30_000;

	/**
	 * Time between the last fault and the check that requests succeed again, in
	 * milliseconds.
	 */
	private static final int RECOVERY_MILLIS = 7000;

	/** Number of changes before the last return of the store. */
	private static final int LAST_CHANGES = 6;

	/**
	 * Age of the last copy beyond the time since those changes, in milliseconds: it lacks
	 * all of them.
	 */
	private static final int LAST_COPY_AGE_MILLIS = 4000;

	/** Time to wait for a client's last request with its retries, in milliseconds. */
	private static final int CLIENT_JOIN_MILLIS = 20_000;

	private static final int SERVER_CHECK_INTERVAL_MILLIS = 200;

	private final SoakOptions options;

	private final DisturbanceTracker disturbances = new DisturbanceTracker(System::nanoTime);

	private final PromiseChecker checker = new PromiseChecker(this.disturbances, System::nanoTime);

	private final SimulatedStore store;

	private final Operator operator;

	private final BackendServerPool servers;

	private final List<HostProcess> hosts = new CopyOnWriteArrayList<>();

	private final Random random;

	private final List<Thread> clientThreads = new CopyOnWriteArrayList<>();

	private HostLoadBalancer loadBalancer;

	private volatile boolean running = true;

	/**
	 * Creates a run and starts its store; {@link #run()} starts everything else.
	 * @param options seed, duration and number of hosts
	 * @throws IOException if the store can't open its port
	 */
	public Soak(SoakOptions options) throws IOException {
		this.options = options;
		this.random = new Random(options.seed());
		this.store = new SimulatedStore();
		this.operator = new Operator(this.store);
		this.servers = new BackendServerPool(this.store, this.checker, this.disturbances);
		Runtime.getRuntime().addShutdownHook(new Thread(this::closeHosts, "soak-shutdown"));
	}

	/**
	 * Runs clients and faults for the time given in the options, then checks the
	 * recovery.
	 * @return counters and violated guarantees
	 * @throws IOException if a process can't be started
	 */
	public SoakReport run() throws IOException {
		startHostsAndServers();
		this.loadBalancer = new HostLoadBalancer(this.hosts);
		startClients();
		DaemonThreads.start("replace-crashed", this::replaceCrashedServers);
		FaultInjector faults = new FaultInjector(this.random.nextLong(), this.disturbances, this.store, this.hosts,
				this.servers);
		LimitInjector limits = new LimitInjector(this.options.seed(), this.servers);
		StoreReturnInjector returns = new StoreReturnInjector(this.options.seed(), this.store, this.operator,
				this.servers, this.disturbances);
		OddWriter odd = new OddWriter(this.options.seed(), this.store);
		PartInjector parts = new PartInjector(this.options.seed(), this.checker, this.loadBalancer);
		CutInjector cuts = new CutInjector(this.options.seed(), this.hosts, this.checker, this.disturbances);
		BrittleInjector brittle = new BrittleInjector(this.options.seed(), this.servers, this.checker,
				this.loadBalancer, this.disturbances);
		EvacuationInjector evacuations = new EvacuationInjector(this.options.seed(), this.operator, this.checker);
		long until = System.nanoTime() + Bounds.millisToNanos(this.options.millis());
		while (System.nanoTime() - until < 0) {
			parts.sendRandomPart();
			faults.injectRandomFault();
			faults.sendRandomServerSignal();
			limits.nameRandomLimit();
			returns.returnAtRandom();
			odd.writeAtRandom();
			cuts.cutAtRandom();
			brittle.makeBrittleAtRandom();
			evacuations.evacuateAtRandom();
			changeConfigurationOrSendPoison();
			DaemonThreads.sleep(300 + this.random.nextInt(1200));
		}
		while (!faults.idle() || !limits.idle() || !parts.idle() || !returns.idle() || !cuts.idle() || !brittle.idle()
				|| !evacuations.idle()) {
			DaemonThreads.sleep(100);
		}
		DaemonThreads.sleep(RECOVERY_MILLIS);
		checkLastChanges(returns);
		checkRecovery();
		this.running = false;
		return new SoakReport(this.options.seed(), this.checker.counts(), this.checker.violations());
	}

	private void startHostsAndServers() throws IOException {
		for (int i = 1; i <= this.options.hosts(); i++) {
			this.hosts.add(new HostProcess("h" + i, i, this.options.program(), this.options.directory(),
					this.store.address()));
		}
		this.servers.setHosts(this.hosts);
		for (int i = 0; i < BrittleInjector.SERVERS; i++) {
			this.servers.startServer("small");
		}
		for (int i = 0; i < SERVERS_PER_SERVICE; i++) {
			this.servers.startServer("app");
			this.servers.startServer("models");
		}
		for (int i = 0; i < SecondAnswers.SERVERS; i++) {
			this.servers.startServer(SecondAnswers.SERVICE);
		}
		this.operator.publishChange();
		for (HostProcess host : this.hosts) {
			host.start();
		}
		long until = System.nanoTime() + Bounds.millisToNanos(START_TIMEOUT_MILLIS);
		while (!this.hosts.stream().allMatch(HostProcess::ready)) {
			if (System.nanoTime() - until > 0) {
				throw new IOException("not all hosts were ready after " + START_TIMEOUT_MILLIS
						+ " ms; see their logs in " + this.options.directory());
			}
			DaemonThreads.sleep(100);
		}
	}

	// Also runs after the last fault, since the platform always restarts crashed servers.
	private void replaceCrashedServers() {
		while (this.running) {
			this.servers.replaceCrashed();
			DaemonThreads.sleep(SERVER_CHECK_INTERVAL_MILLIS);
		}
	}

	private void startClients() {
		for (int i = 0; i < CLIENTS_PER_HOST * this.options.hosts(); i++) {
			Client client = new Client(this.checker, (i % 2 == 0) ? "acme" : "bolt", this.random.nextLong());
			Random pauseRandom = new Random(this.random.nextLong());
			this.clientThreads.add(DaemonThreads.start("client", () -> {
				while (this.running) {
					client.sendWithRetries(this.loadBalancer);
					DaemonThreads.sleep(pauseRandom.nextInt(40));
				}
				client.close();
			}));
		}
		for (int i = 0; i < PAIR_CLIENTS_PER_HOST * this.options.hosts(); i++) {
			Client client = new Client(this.checker, "acme", this.options.seed() + i);
			client.waitUntilDeadline(PAIR_DEADLINE_MILLIS);
			this.clientThreads.add(DaemonThreads.start("pair-client", () -> sendToPair(client)));
		}
	}

	private void sendToPair(Client client) {
		while (this.running) {
			client.sendWithRetries(this.loadBalancer, TrackedRequest.Kind.PAIR, "/pair/x", "");
			DaemonThreads.sleep(10);
		}
		client.close();
	}

	private void changeConfigurationOrSendPoison() {
		int draw = this.random.nextInt(12);
		if (draw < 4) {
			Operator.Change change = this.operator.publishChange();
			long seed = this.random.nextLong();
			DaemonThreads.start("probe", () -> probeHosts(change, seed));
		}
		else if (draw == 4) {
			TrackedRequest.Kind kind = this.random.nextBoolean() ? TrackedRequest.Kind.SAFE : TrackedRequest.Kind.ONCE;
			long seed = this.random.nextLong();
			DaemonThreads.start("poison", () -> sendCrashingRequests(kind, seed));
		}
	}

	// Checks all hosts once a change must be applied. The result counts only if no newer
	// change was published meanwhile and the host is not stopping.
	private void probeHosts(Operator.Change change, long seed) {
		DaemonThreads.sleep(Bounds.CONFIG_APPLY_MILLIS + 50L);
		for (HostProcess host : this.hosts) {
			ProbeResult result = probeHost(host, change, seed);
			if (change.equals(this.operator.lastChange()) && !host.stopping()) {
				this.checker.checkProbe(host.name(), change, result);
			}
		}
	}

	// The last change before a calm shows what a host has missed for good; another return
	// of
	// the store comes right before it, with fewer changes after than before.
	private void checkLastChanges(StoreReturnInjector returns) {
		for (int i = 0; i < LAST_CHANGES; i++) {
			this.operator.publishChange();
		}
		probeAllAfterChange();
		returns.returnFinally(Bounds.CONFIG_APPLY_MILLIS + LAST_COPY_AGE_MILLIS, this::probeAll);
		this.operator.publishChange();
		probeAllAfterChange();
	}

	private void probeAllAfterChange() {
		DaemonThreads.sleep(Bounds.CONFIG_APPLY_MILLIS + 50L);
		probeAll();
	}

	private void probeAll() {
		Operator.Change change = this.operator.lastChange();
		for (HostProcess host : this.hosts) {
			this.checker.checkLastChange(host.name(), change, probeHost(host, change, this.options.seed()));
		}
	}

	private ProbeResult probeHost(HostProcess host, Operator.Change change, long seed) {
		Client client = new Client(this.checker, "acme", seed);
		Client extra = new Client(this.checker, "extra", seed);
		int added = client.sendOnce(host, TrackedRequest.Kind.SAFE, change.addedPath() + "x", "probe", true).status();
		int removed = client.sendOnce(host, TrackedRequest.Kind.SAFE, change.removedPath() + "x", "probe", true)
			.status();
		int key = extra.sendOnce(host, TrackedRequest.Kind.SAFE, "/safe/x", "probe", true).status();
		client.close();
		extra.close();
		return new ProbeResult(added, removed, key);
	}

	private void sendCrashingRequests(TrackedRequest.Kind kind, long seed) {
		Client client = new Client(this.checker, "acme", seed);
		String path = "/" + kind.name().toLowerCase(java.util.Locale.ROOT) + "/poison";
		for (int i = 0; i < 12 && this.running; i++) {
			client.sendWithRetries(this.loadBalancer, kind, path, "poison " + seed);
			DaemonThreads.sleep(700);
		}
		client.close();
	}

	private void checkRecovery() {
		Client client = new Client(this.checker, "acme", this.random.nextLong());
		int served = 0;
		int sent = 40;
		for (int i = 0; i < sent; i++) {
			Client.Result result = client.sendOnce(this.loadBalancer.pick(this.random), TrackedRequest.Kind.SAFE,
					"/safe/end", "end", true);
			served += (result.status() == 200 || result.status() == -1) ? 1 : 0;
		}
		client.close();
		this.checker.checkRecovery(served, sent);
	}

	// The shutdown hook calls this too, so that no host process outlives this one. Hosts
	// count as disturbed from here on: connections broken by it are no violations.
	private void closeHosts() {
		for (HostProcess host : this.hosts) {
			this.disturbances.begin(host.name());
			try {
				host.close();
			}
			catch (IOException ex) {
				logger.warn("error while ending host process {}: {}", host.name(), ex.toString());
			}
		}
	}

	// The last requests are checked too, so they must end before the hosts are killed.
	private void awaitClients() {
		try {
			for (Thread client : this.clientThreads) {
				client.join(CLIENT_JOIN_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() throws IOException {
		this.running = false;
		if (this.loadBalancer != null) {
			this.loadBalancer.stop();
		}
		awaitClients();
		closeHosts();
		this.servers.close();
		this.store.close();
	}

}
