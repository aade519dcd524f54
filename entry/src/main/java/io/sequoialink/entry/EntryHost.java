package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.sequoialink.decision.cascade.ConfidenceCascade;
import io.sequoialink.decision.limits.Strain;
import io.sequoialink.decision.limits.WorkDensity;
import io.sequoialink.decision.observation.FleetSightings;
import io.sequoialink.decision.retry.RepeatBudget;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.count.GatewayCounts;
import io.sequoialink.gateway.crash.CrashWatch;
import io.sequoialink.gateway.feed.FleetUpdates;
import io.sequoialink.gateway.feed.ReadSharing;
import io.sequoialink.gateway.feed.StoreWatch;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.http.BackendPool;
import io.sequoialink.gateway.http.FrontServer;
import io.sequoialink.gateway.http.Gateway;
import io.sequoialink.gateway.http.HeldAnswers;
import io.sequoialink.gateway.http.ListeningSocket;
import io.sequoialink.gateway.http.ReadinessServer;
import io.sequoialink.gateway.http.StartGate;
import io.sequoialink.gateway.place.LeastWorkChoice;
import io.sequoialink.gateway.place.ReadingSpeed;
import io.sequoialink.gateway.place.ServerNotices;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.place.ServerTable;
import io.sequoialink.gateway.place.ServerWord;
import io.sequoialink.gateway.place.UsualPace;
import io.sequoialink.gateway.relay.Peer;
import io.sequoialink.gateway.relay.PeerAnnouncement;
import io.sequoialink.gateway.relay.PeerDirectory;
import io.sequoialink.gateway.relay.PeerSocket;
import io.sequoialink.gateway.relay.ReadRelay;
import io.sequoialink.gateway.relay.SightingRelay;
import io.sequoialink.gateway.rollout.RolloutWatch;
import io.sequoialink.platform.PlatformHeaders;
import io.sequoialink.platform.StatusRecords;
import io.sequoialink.platform.StoreConnectionPool;
import io.sequoialink.platform.StoreTopic;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An entry host: creates and connects the parts of the proxy (client listener, routing,
 * store subscriptions, gossip between hosts, readiness and metrics endpoint), and starts
 * and stops them. All parts run on one event loop; {@link #start()} and {@link #stop()}
 * may be called from any thread.
 */
public final class EntryHost {

	private static final Logger logger = LoggerFactory.getLogger(EntryHost.class);

	/**
	 * Time for which a stopping host still accepts connections, in milliseconds: the
	 * platform goes on sending new ones until it has seen that the host is not ready.
	 */
	private static final long KEEP_LISTENING_MILLIS = 2700;

	/**
	 * Part of the allowed stop time that is reserved for the exit of the process, in
	 * milliseconds.
	 */
	private static final long EXIT_MARGIN_MILLIS = 300;

	private static final long POLL_MILLIS = 100;

	/**
	 * Timeout of the host that reads the store for this one, as a multiple of the shorter
	 * of the bounds on applying changes. Until it expires this host still meets the
	 * bounds, because it reads the store itself once its data is too old.
	 */
	private static final int PEER_READER_TIMEOUT_BOUNDS = 2;

	/**
	 * Path of the metrics page, served on the same address as the platform's readiness
	 * check.
	 */
	private static final String METRICS_PATH = "/metrics";

	/**
	 * Upper limit of the repeats that one host may send beyond the allowed ratio. It is
	 * small, so that hundreds of hosts together stay within the slack that the platform
	 * grants the fleet.
	 */
	private static final double MAX_RETRY_SLACK_PER_HOST = 1;

	private volatile EntrySettings settings;

	private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);

	private final EventLoop eventLoop = this.eventLoopGroup.next();

	private final FleetView fleetView = new FleetView();

	private final StoreConnectionPool store;

	private final GatewayCounts counts = new GatewayCounts();

	private final StoreSubscriptions subscriptions;

	private final PeerSocket peerSocket = new PeerSocket();

	private final Optional<ReadRelay> readRelay;

	private final FleetSightings sightings = new FleetSightings();

	private final Optional<SightingRelay> sightingRelay;

	private final ServerTable servers;

	private final RolloutWatch rollouts;

	private final CrashWatch crashes;

	private final FleetUpdates updates;

	private final RepeatBudget retryBudget;

	private final Strain strain = new Strain();

	private final FrontServer frontServer;

	private final CountDownLatch idle = new CountDownLatch(1);

	private final long createdNanos = System.nanoTime();

	private volatile boolean draining;

	private boolean wasReady;

	/**
	 * Creates a host without opening sockets or reading the store.
	 * @param settings settings of the host
	 */
	public EntryHost(EntrySettings settings) {
		this.settings = settings;
		EntrySettings.Bounds bounds = settings.bounds();
		this.store = new StoreConnectionPool(settings.store(), this.eventLoop);
		StatusRecords statuses = new StatusRecords(StoreTopic.statuses(this.store), System::currentTimeMillis);
		SplittableRandom random = new SplittableRandom();
		this.rollouts = new RolloutWatch(settings.host(), rolloutOptions(bounds), statuses, System::nanoTime, random);
		StartGate gate = new StartGate();
		// a roll-out order shortens the time that a status read waits, so the pending
		// read is cancelled and repeated
		this.updates = new FleetUpdates(this.fleetView, this.rollouts, () -> readStatusesNow(statuses), gate::open,
				System::nanoTime);
		this.crashes = new CrashWatch(settings.host(), statuses, this::schedule, System::nanoTime,
				() -> readStatusesNow(statuses));
		this.servers = new ServerTable(this.fleetView,
				new ServerNotices(System::nanoTime, random, this::recordServerSignal), this.sightings);
		this.readRelay = settings.peers().map(this::createReadRelay);
		this.sightingRelay = this.readRelay
			.map((relay) -> new SightingRelay(this.sightings, relay, this.peerSocket, settings.sightingBytesPerSecond(),
					this.servers::name, System::nanoTime, System::currentTimeMillis, random));
		statuses.setReceivers(this.updates, this.crashes::take,
				this.readRelay.<PeerDirectory>map((relay) -> relay).orElse(PeerDirectory.NONE));
		this.subscriptions = new StoreSubscriptions(this.store, this.updates, statuses,
				() -> this.rollouts.underWay() || this.crashes.close(), this::schedule,
				new StoreWatch(this.counts.storeCalls(), this.counts.toldReads()),
				this.readRelay.<ReadSharing>map((relay) -> relay).orElse(ReadSharing.NONE));
		this.readRelay.ifPresent((relay) -> this.updates
			.whenStatusesRead(new PeerAnnouncement(relay, statuses, this::schedule)::statusesRead));
		this.retryBudget = new RepeatBudget(bounds.repeatRatio(), retrySlackPerHost(bounds),
				TimeUnit.MILLISECONDS.toNanos(bounds.repeatWindowMillis()));
		this.frontServer = new FrontServer(gateway(gate, random));
	}

	private Gateway gateway(StartGate gate, RandomGenerator random) {
		PlatformHeaders headers = new PlatformHeaders();
		ReadingSpeed speed = new ReadingSpeed();
		return new Gateway(gate, this.fleetView, this.servers,
				new LeastWorkChoice(this.servers, speed, this.settings.zone(), System::nanoTime, random),
				new ConfidenceCascade(ConfidenceCascade.Options.DEFAULT), this.strain, new WorkDensity(), this.rollouts,
				speed, new UsualPace(), new BackendPool(this.eventLoopGroup, headers), headers, this.retryBudget,
				this.crashes, new HeldAnswers(), this.counts, System::nanoTime);
	}

	private void recordServerSignal(ServerEntry server, ServerWord signal) {
		long incarnation = ServerState.incarnation(server);
		long now = System.nanoTime();
		if (signal.leaving()) {
			this.sightings.leaves(incarnation, now);
		}
		signal.spareMillis()
			.ifPresent((millis) -> this.sightings.spared(incarnation, now + TimeUnit.MILLISECONDS.toNanos(millis)));
	}

	private void receiveDatagram(ReadRelay reads, InetAddress from, byte[] datagram) {
		if (SightingRelay.handles(datagram)) {
			this.sightingRelay.ifPresent((relay) -> relay.received(from, datagram));
		}
		else {
			reads.received(from, datagram);
		}
	}

	/**
	 * Opens the client address, starts to serve on it and starts to read the platform's
	 * store.
	 * @throws IOException if the host cannot listen on the client address
	 * @throws InterruptedException if interrupted while sockets are bound
	 */
	public void start() throws IOException, InterruptedException {
		start(ListeningSocket.open(this.settings.clients()));
	}

	/**
	 * Starts to serve on an open socket and starts to read the platform's store.
	 * @param clients listening socket, on which clients may be connecting already; owned
	 * by this host from now on
	 * @throws InterruptedException if interrupted while sockets are bound
	 */
	void start(ServerSocketChannel clients) throws InterruptedException {
		this.frontServer.start(this.eventLoopGroup, clients);
		new ReadinessServer(new PlatformHeaders().readinessPath(), this::ready, Map.of(METRICS_PATH, metrics()::render))
			.start(this.eventLoopGroup, this.settings.readiness());
		this.readRelay.ifPresent((relay) -> this.peerSocket.start(this.eventLoopGroup,
				this.settings.peers().orElseThrow(), (from, datagram) -> receiveDatagram(relay, from, datagram)));
		this.eventLoop.execute(this::startPeriodicTasks);
		logger.info(GatewayEvents.STARTED, this.settings.host(), this.settings.zone(), this.settings.clients(),
				this.settings.readiness());
	}

	private ReadRelay createReadRelay(InetSocketAddress address) {
		return new ReadRelay(new Peer(this.settings.host(), this.settings.zone(), address), this.peerSocket,
				(read) -> this.subscriptions.receiveSharedRead(read), peerReaderTimeoutNanos(this.settings.bounds()),
				System::nanoTime);
	}

	private static long peerReaderTimeoutNanos(EntrySettings.Bounds bounds) {
		return TimeUnit.MILLISECONDS
			.toNanos(PEER_READER_TIMEOUT_BOUNDS * Math.min(bounds.applyMillis(), bounds.leavingMillis()));
	}

	// Reads the records that hosts publish at once instead of at the next poll; called
	// after a crash or a roll-out order, when they must be followed closely.
	private void readStatusesNow(StatusRecords statuses) {
		this.store.cancelReads();
		statuses.readNow();
	}

	private MetricsPage metrics() {
		return new MetricsPage(this.counts, List.of(
				new MetricsPage.Gauge("sequoialink_ready", "1 while the host takes new connections",
						() -> ready() ? 1 : 0),
				new MetricsPage.Gauge("sequoialink_configuration_version", "Version of the configuration in force",
						() -> this.fleetView.configuration().map(Configuration::version).orElse(0L)),
				new MetricsPage.Gauge("sequoialink_backend_servers", "Known backend servers",
						() -> this.fleetView.servers().size()),
				new MetricsPage.Gauge("sequoialink_client_connections", "Open connections of clients",
						this.frontServer::connections),
				new MetricsPage.Gauge("sequoialink_requests_under_way", "Requests that wait for their answer",
						this.frontServer::underWay),
				new MetricsPage.Gauge("sequoialink_servers_leaving",
						"Backend servers that said to this host that they leave", this.servers::leaving),
				new MetricsPage.Gauge("sequoialink_servers_spared",
						"Backend servers that asked to be spared until later", this.servers::spared),
				new MetricsPage.Gauge("sequoialink_servers_signalled",
						"Backend servers that said to some host of late that they leave or want to be spared",
						() -> this.sightings.count(System.nanoTime())),
				new MetricsPage.Gauge("sequoialink_sighting_bytes", "Bytes sent to tell hosts of backend servers",
						() -> this.sightingRelay.map(SightingRelay::bytesSent).orElse(0L)),
				new MetricsPage.Gauge("sequoialink_strain", "How hard pressed the engines are, from 0 to 1",
						() -> this.strain.value())));
	}

	private void startPeriodicTasks() {
		this.subscriptions.start(this.settings.bounds());
		this.sightingRelay.ifPresent((relay) -> this.eventLoop.scheduleAtFixedRate(relay::round,
				SightingRelay.ROUND_MILLIS, SightingRelay.ROUND_MILLIS, TimeUnit.MILLISECONDS));
		this.eventLoop.scheduleAtFixedRate(this::tick, POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void schedule(Runnable task, long millis) {
		this.eventLoop.schedule(task, millis, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		logReadinessChange();
		this.updates.sweep();
		this.rollouts.tick();
		this.crashes.tick();
	}

	private void logReadinessChange() {
		boolean now = ready();
		if (now && !this.wasReady) {
			logger.info(GatewayEvents.READY, this.settings.host(),
					this.fleetView.configuration().map(Configuration::version).orElse(0L),
					this.fleetView.servers().size(),
					TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.createdNanos));
		}
		if (!now && this.wasReady) {
			logger.info(GatewayEvents.NOT_READY, this.settings.host(),
					this.draining ? "the host is draining" : "data from the store is incomplete");
		}
		this.wasReady = now;
	}

	private boolean ready() {
		return !this.draining && this.updates.complete();
	}

	/**
	 * Applies changed settings. Called on the event loop. Changes of this host's own
	 * addresses take effect only at its next start.
	 * @param changed the new settings
	 */
	void apply(EntrySettings changed) {
		if (!changed.clients().equals(this.settings.clients()) || !changed.readiness().equals(this.settings.readiness())
				|| !changed.peers().equals(this.settings.peers())) {
			logger.warn(GatewayEvents.SETTINGS_NEED_RESTART);
		}
		this.settings = changed;
		EntrySettings.Bounds bounds = changed.bounds();
		this.store.updateAddress(changed.store());
		this.retryBudget.limits(bounds.repeatRatio(), retrySlackPerHost(bounds));
		this.rollouts.options(rolloutOptions(bounds));
		this.readRelay.ifPresent((relay) -> relay.silence(peerReaderTimeoutNanos(bounds)));
		this.sightingRelay.ifPresent((relay) -> relay.bytesPerSecond(changed.sightingBytesPerSecond()));
	}

	/**
	 * Runs a task on the event loop.
	 * @param task the task
	 */
	void execute(Runnable task) {
		this.eventLoop.execute(task);
	}

	/**
	 * Runs a task on the event loop at a fixed rate.
	 * @param periodMillis time between two runs, in milliseconds
	 * @param task the task
	 */
	void scheduleAtFixedRate(long periodMillis, Runnable task) {
		this.eventLoop.scheduleAtFixedRate(task, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
	}

	private static double retrySlackPerHost(EntrySettings.Bounds bounds) {
		return Math.min(MAX_RETRY_SLACK_PER_HOST, bounds.repeatSlack());
	}

	private static RolloutWatch.Options rolloutOptions(EntrySettings.Bounds bounds) {
		return new RolloutWatch.Options(bounds.exposureShare(), TimeUnit.MILLISECONDS.toNanos(bounds.sessionMillis()));
	}

	/**
	 * Shuts the host down gracefully. It reports not ready, accepts connections until the
	 * platform sends no more, and returns when no client connection is open or the
	 * allowed stop time is nearly over.
	 */
	public void stop() {
		long began = System.nanoTime();
		this.draining = true;
		this.eventLoop.execute(this::drain);
		try {
			boolean idleInTime = this.idle.await(this.settings.bounds().stopMillis() - EXIT_MARGIN_MILLIS,
					TimeUnit.MILLISECONDS);
			logger.info(GatewayEvents.STOPPED, this.settings.host(),
					TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began), idleInTime ? "no" : "some");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void drain() {
		this.frontServer.drain();
		logger.info(GatewayEvents.DRAINING, this.settings.host(), this.frontServer.connections(),
				this.frontServer.underWay());
		this.eventLoop.schedule(this::stopListening, KEEP_LISTENING_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void stopListening() {
		this.frontServer.stopListening();
		this.eventLoop.scheduleAtFixedRate(this::signalIfIdle, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void signalIfIdle() {
		if (this.frontServer.connections() == 0) {
			this.idle.countDown();
		}
	}

}
