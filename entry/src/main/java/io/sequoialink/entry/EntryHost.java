package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.sequoialink.decision.cascade.ConfidenceCascade;
import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.decision.limits.LatencyPressure;
import io.sequoialink.decision.limits.RequestCostRatio;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.decision.observation.SharedServerNotices;
import io.sequoialink.decision.retry.RetryBudget;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.admission.AdmissionControl;
import io.sequoialink.gateway.count.GatewayMetrics;
import io.sequoialink.gateway.crash.CrashCoordinator;
import io.sequoialink.gateway.crash.TraitCoordinator;
import io.sequoialink.gateway.crash.TraitGossip;
import io.sequoialink.gateway.feed.FleetViewUpdater;
import io.sequoialink.gateway.feed.ReadForwarding;
import io.sequoialink.gateway.feed.StartupHold;
import io.sequoialink.gateway.feed.StoreAvailability;
import io.sequoialink.gateway.feed.StoreEras;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.http.BackendPool;
import io.sequoialink.gateway.http.ConnectionMemory;
import io.sequoialink.gateway.http.FrontendServer;
import io.sequoialink.gateway.http.GatewayContext;
import io.sequoialink.gateway.http.ListeningSocket;
import io.sequoialink.gateway.http.ReadinessServer;
import io.sequoialink.gateway.http.ResponseBufferLimit;
import io.sequoialink.gateway.http.ReturnSchedule;
import io.sequoialink.gateway.http.StartupGate;
import io.sequoialink.gateway.path.HelpingHosts;
import io.sequoialink.gateway.path.OtherServers;
import io.sequoialink.gateway.path.ServerConnector;
import io.sequoialink.gateway.path.ServicePaths;
import io.sequoialink.gateway.path.TunnelServer;
import io.sequoialink.gateway.permit.FleetPermits;
import io.sequoialink.gateway.permit.FleetSlots;
import io.sequoialink.gateway.permit.LimitGossip;
import io.sequoialink.gateway.place.ColdServerTable;
import io.sequoialink.gateway.place.EvacuatedZones;
import io.sequoialink.gateway.place.LatencyBaseline;
import io.sequoialink.gateway.place.LowestLatencyBalancer;
import io.sequoialink.gateway.place.PrefillSpeed;
import io.sequoialink.gateway.place.ResponseNotice;
import io.sequoialink.gateway.place.ServerLimitTable;
import io.sequoialink.gateway.place.ServerNoticeTable;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.place.ServerTable;
import io.sequoialink.gateway.relay.ConfigurationInquiry;
import io.sequoialink.gateway.relay.GossipBudget;
import io.sequoialink.gateway.relay.GossipTargets;
import io.sequoialink.gateway.relay.Peer;
import io.sequoialink.gateway.relay.PeerAddressPublisher;
import io.sequoialink.gateway.relay.PeerListener;
import io.sequoialink.gateway.relay.PeerSocket;
import io.sequoialink.gateway.relay.ReadForwarder;
import io.sequoialink.gateway.relay.ServerNoticeGossip;
import io.sequoialink.gateway.rollout.RolloutCoordinator;
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

	/**
	 * Time before that in which the requests that are still under way get their last
	 * responses, in milliseconds.
	 */
	private static final long LAST_RESPONSES_MILLIS = 200;

	private static final long POLL_MILLIS = 100;

	/**
	 * Time without records from the reader host (the host that reads the store and
	 * forwards the records to this one) after which this host no longer relies on it, as
	 * a multiple of the shorter of the bounds on applying changes. Until it expires this
	 * host still meets the bounds, because it reads the store itself once its data is too
	 * old.
	 */
	private static final int PEER_READER_TIMEOUT_BOUNDS = 2;

	/**
	 * Path of the metrics page, served on the same address as the platform's readiness
	 * check.
	 */
	private static final String METRICS_PATH = "/metrics";

	private volatile EntrySettings settings;

	private final UnaryOperator<InetSocketAddress> serverAddresses;

	private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);

	private final EventLoop eventLoop = this.eventLoopGroup.next();

	private final FleetView fleetView = new FleetView();

	private final EvacuatedZones evacuatedZones = new EvacuatedZones();

	private final StoreConnectionPool store;

	private final StoreEras eras = new StoreEras();

	private final GatewayMetrics counts = new GatewayMetrics();

	private final ConnectionMemory memory = ConnectionMemory.ofProcess();

	private final StoreSubscriptions subscriptions;

	private final PeerSocket peerSocket = new PeerSocket();

	private final Optional<ReadForwarder> readForwarder;

	private final SharedServerNotices sharedNotices = new SharedServerNotices();

	private final ServerLimits serverLimits = new ServerLimits();

	private final ColdServers coldServers = new ColdServers();

	private final GossipBudget gossipBudget;

	private final Optional<ServerNoticeGossip> noticeGossip;

	private final Optional<ConfigurationInquiry> inquiry;

	private boolean asked;

	private final FleetPermits permits;

	private final FleetSlots slots;

	private final Optional<LimitGossip> limitGossip;

	private final ServerTable servers;

	private final RolloutCoordinator rollouts;

	private final CrashCoordinator crashes;

	private final TraitCoordinator traits;

	private final FleetViewUpdater updates;

	private final RetryBudget retryBudget;

	private final LatencyPressure latencyPressure = new LatencyPressure();

	private final ServicePaths paths = new ServicePaths(System::nanoTime);

	private final ServerConnector connector;

	private final Optional<TunnelServer> tunnels;

	private final AdmissionControl admission;

	private final FrontendServer frontendServer;

	private final CountDownLatch idle = new CountDownLatch(1);

	private final long createdNanos = System.nanoTime();

	private volatile boolean draining;

	private boolean wasReady;

	/**
	 * Creates a host without opening sockets or reading the store.
	 * @param settings settings of the host
	 */
	public EntryHost(EntrySettings settings) {
		this(settings, UnaryOperator.identity());
	}

	/**
	 * Creates a host that reaches backend servers by other addresses than the registered
	 * ones, so that tests can cut the paths of one host.
	 * @param settings settings of the host
	 * @param serverAddresses returns the address to connect to for a registered one;
	 * called on the event loop
	 */
	EntryHost(EntrySettings settings, UnaryOperator<InetSocketAddress> serverAddresses) {
		this.settings = settings;
		this.serverAddresses = serverAddresses;
		EntrySettings.Bounds bounds = settings.bounds();
		this.store = new StoreConnectionPool(settings.store(), this.eventLoop);
		StatusRecords statuses = new StatusRecords(StoreTopic.statuses(this.store, this.eras),
				System::currentTimeMillis);
		SplittableRandom random = new SplittableRandom();
		this.rollouts = new RolloutCoordinator(settings.host(), rolloutOptions(bounds), statuses, System::nanoTime,
				random);
		StartupGate gate = new StartupGate();
		// when the operator orders a roll-out, reads of the status topic get a shorter
		// wait time, so the pending read is cancelled and repeated
		this.updates = new FleetViewUpdater(this.fleetView, this.evacuatedZones, this.rollouts,
				() -> readStatusesNow(statuses), gate::open, System::nanoTime);
		this.crashes = new CrashCoordinator(settings.host(), statuses, this::schedule, System::nanoTime,
				() -> readStatusesNow(statuses));
		this.servers = new ServerTable(this.fleetView,
				new ServerNoticeTable(System::nanoTime, random, this::mayProbe, this::recordServerNotice),
				this.sharedNotices, new ServerLimitTable(this.serverLimits), this.evacuatedZones,
				new ColdServerTable(this.coldServers, this.fleetView, System::nanoTime));
		this.updates.onColdStarts(this.servers.cold());
		this.readForwarder = settings.peers().map((address) -> createReadForwarder());
		this.gossipBudget = new GossipBudget(settings.sightingBytesPerSecond(), System::nanoTime);
		this.noticeGossip = this.readForwarder
			.map((forwarder) -> new ServerNoticeGossip(this.sharedNotices, forwarder, this.peerSocket,
					this.gossipBudget, this.servers::displayName, System::nanoTime, System::currentTimeMillis, random));
		this.permits = new FleetPermits(self(), this::otherHosts, this.serverLimits, this.coldServers, this.peerSocket,
				this::schedule, this.counts.permits(), this.servers::displayName, System::nanoTime, random);
		this.slots = new FleetSlots(self(), this::otherHosts, this.permits, this.fleetView::servers,
				ServerState::incarnation, this::requestsInFlight, this.peerSocket, this::schedule, System::nanoTime);
		this.limitGossip = this.readForwarder.map((forwarder) -> new LimitGossip(settings.host(), this.serverLimits,
				this.permits, new GossipTargets(forwarder, random), this.gossipBudget, this.peerSocket,
				this.servers::displayName, System::nanoTime, System::currentTimeMillis));
		this.traits = createTraitCoordinator(statuses, random);
		statuses.setReceivers(this.updates, this.crashes::reportRead, this.traits,
				this.readForwarder.<PeerListener>map((forwarder) -> forwarder).orElse(PeerListener.NONE));
		this.subscriptions = new StoreSubscriptions(this.store, this.eras, this.updates, statuses,
				() -> this.rollouts.hasActiveRollout() || this.crashes.pollsFrequently(), this::schedule,
				new StoreAvailability(this.counts.storeCalls(), this.counts.forwardedReads()),
				this.readForwarder.<ReadForwarding>map((forwarder) -> forwarder).orElse(ReadForwarding.NONE));
		this.inquiry = this.readForwarder.map((forwarder) -> createInquiry(forwarder, random));
		this.readForwarder.ifPresent((forwarder) -> {
			PeerAddressPublisher publisher = new PeerAddressPublisher(forwarder, statuses, this::schedule);
			this.updates.onStatusesRead(() -> {
				askOnce();
				publisher.onStatusesRead();
			});
		});
		this.retryBudget = new RetryBudget(bounds.repeatRatio(), slackPerHost(bounds),
				TimeUnit.MILLISECONDS.toNanos(bounds.repeatWindowMillis()));
		this.connector = new ServerConnector(this.eventLoopGroup, this.serverAddresses, this.paths,
				new HelpingHosts(self(), this::otherHosts, System::nanoTime, random),
				new OtherServers(this.fleetView, random), this.counts.tunnels(), System::nanoTime);
		this.tunnels = this.readForwarder.map((forwarder) -> new TunnelServer(this.connector, this.fleetView,
				this.evacuatedZones, forwarder::isPeerAddress));
		this.admission = new AdmissionControl(this.servers::reportsSlowdown, this.servers, this.counts.refusedForRoom(),
				this::schedule, System::nanoTime, random);
		this.frontendServer = new FrontendServer(gateway(gate, random));
	}

	private int requestsInFlight(ServerEntry server) {
		return this.servers.find(server.id())
			.filter((state) -> state.entry().startMillis() == server.startMillis())
			.map(ServerState::inFlight)
			.orElse(0);
	}

	private List<Peer> otherHosts() {
		return this.readForwarder.map(ReadForwarder::otherPeers).orElseGet(List::of);
	}

	private ConfigurationInquiry createInquiry(ReadForwarder forwarder, RandomGenerator random) {
		StartupHold hold = new StartupHold(System::nanoTime);
		this.updates.holdBackWith(hold);
		return new ConfigurationInquiry(forwarder, new GossipTargets(forwarder, random), this.peerSocket,
				() -> this.fleetView.configuration().map(Configuration::version).orElse(ConfigurationInquiry.NONE),
				hold);
	}

	private void askOnce() {
		if (!this.asked) {
			this.asked = true;
			this.inquiry.ifPresent(ConfigurationInquiry::ask);
		}
	}

	private TraitCoordinator createTraitCoordinator(StatusRecords statuses, SplittableRandom random) {
		Optional<GossipTargets> targets = this.readForwarder.map((forwarder) -> new GossipTargets(forwarder, random));
		TraitGossip gossip = new TraitGossip(self(), this::otherHosts,
				() -> targets.map(GossipTargets::draw).orElseGet(Set::of), this.gossipBudget, this.peerSocket,
				System::nanoTime, System::currentTimeMillis);
		TraitCoordinator coordinator = new TraitCoordinator(gossip, statuses, this::schedule, System::nanoTime, random,
				this.servers::displayName);
		this.crashes.leaveOut((incarnation) -> coordinator.explained(incarnationHash(incarnation)));
		coordinator.onExplanationsChanged(this.crashes::explanationsChanged);
		return coordinator;
	}

	// Crash reports name an incarnation by its identifier, an @ and its start time.
	private static long incarnationHash(String incarnation) {
		int at = incarnation.lastIndexOf('@');
		return ServerState.incarnation(incarnation.substring(0, at), Long.parseLong(incarnation.substring(at + 1)));
	}

	private GatewayContext gateway(StartupGate gate, RandomGenerator random) {
		PlatformHeaders headers = new PlatformHeaders();
		PrefillSpeed speed = new PrefillSpeed();
		return new GatewayContext(gate, this.fleetView, this.servers,
				new LowestLatencyBalancer(this.servers, speed, this.settings.zone(), this.slots, System::nanoTime,
						random),
				new ConfidenceCascade(ConfidenceCascade.Options.DEFAULT), this.latencyPressure, new RequestCostRatio(),
				this.rollouts, speed, new LatencyBaseline(), this.slots, new ReturnSchedule(random), this.admission,
				new BackendPool(this.connector, headers, this.counts.unexpectedHeads()), headers, this.retryBudget,
				this.crashes, this.traits, new ResponseBufferLimit(this.memory), this.counts, System::nanoTime);
	}

	private boolean mayProbe(long server) {
		return this.permits.ownsSlice(server);
	}

	private void recordServerNotice(ServerEntry server, ResponseNotice notice) {
		long incarnation = ServerState.incarnation(server);
		long now = System.nanoTime();
		if (notice.shuttingDown()) {
			this.sharedNotices.recordShutdown(incarnation, now);
		}
		notice.backoffMillis()
			.ifPresent((millis) -> this.sharedNotices.recordBackoff(incarnation,
					now + TimeUnit.MILLISECONDS.toNanos(millis)));
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
	 * @param clients listening socket, on which clients may be connecting already; used
	 * only by this host from now on
	 * @throws InterruptedException if interrupted while sockets are bound
	 */
	void start(ServerSocketChannel clients) throws InterruptedException {
		this.frontendServer.start(this.eventLoopGroup, clients);
		new ReadinessServer(new PlatformHeaders().readinessPath(), this::ready, Map.of(METRICS_PATH, metrics()::render),
				this.memory)
			.start(this.eventLoopGroup, this.settings.readiness());
		this.readForwarder.ifPresent((forwarder) -> this.peerSocket.start(this.eventLoopGroup,
				this.settings.peers().orElseThrow(), new PeerDatagrams(forwarder, this.noticeGossip, this.traits,
						this.limitGossip, this.slots, this.inquiry)));
		this.tunnels.ifPresent((helping) -> helping.start(this.eventLoopGroup, this.settings.peers().orElseThrow()));
		this.eventLoop.execute(this::startPeriodicTasks);
		logger.info(GatewayEvents.STARTED, this.settings.host(), this.settings.zone(), this.settings.clients(),
				this.settings.readiness());
		logger.info(GatewayEvents.CLIENT_CAPACITY, this.memory.limit(), this.frontendServer.maxConnections());
	}

	// Without an address for datagrams this host shares no limits with others.
	private Peer self() {
		return new Peer(this.settings.host(), this.settings.zone(),
				this.settings.peers().orElse(this.settings.clients()));
	}

	private ReadForwarder createReadForwarder() {
		return new ReadForwarder(self(), this.peerSocket, (read) -> this.subscriptions.receiveForwardedRead(read),
				peerReaderTimeoutNanos(this.settings.bounds()), System::nanoTime);
	}

	private static long peerReaderTimeoutNanos(EntrySettings.Bounds bounds) {
		return TimeUnit.MILLISECONDS
			.toNanos(PEER_READER_TIMEOUT_BOUNDS * Math.min(bounds.applyMillis(), bounds.leavingMillis()));
	}

	// Reads the status topic (the records that hosts publish) at once instead of at the
	// next poll; called after a crash or a roll-out order, when this host needs the
	// reports of other hosts quickly.
	private void readStatusesNow(StatusRecords statuses) {
		this.store.cancelReads();
		statuses.readNow();
	}

	private MetricsPage metrics() {
		List<MetricsPage.Gauge> gauges = new ArrayList<>(List.of(
				new MetricsPage.Gauge("sequoialink_ready", "1 while the host takes new connections",
						() -> ready() ? 1 : 0),
				new MetricsPage.Gauge("sequoialink_configuration_version", "Version of the configuration in force",
						() -> this.fleetView.configuration().map(Configuration::version).orElse(0L)),
				new MetricsPage.Gauge("sequoialink_configuration_age_seconds",
						"Time since the configuration in force was applied on this host",
						() -> TimeUnit.NANOSECONDS.toSeconds(this.updates.configurationAgeNanos())),
				new MetricsPage.Gauge("sequoialink_store_era",
						"Era of the platform's store, which rises when it returns from an older copy; -1 if it names none",
						this.eras::current),
				new MetricsPage.Gauge("sequoialink_backend_servers", "Known backend servers",
						() -> this.fleetView.servers().size()),
				new MetricsPage.Gauge("sequoialink_client_connections", "Open connections of clients",
						this.frontendServer::connections),
				new MetricsPage.Gauge("sequoialink_requests_held", "Requests that wait for room at their service",
						this.admission::held),
				new MetricsPage.Gauge("sequoialink_requests_under_way", "Requests that wait for their answer",
						this.frontendServer::activeRequests)));
		gauges.addAll(new FleetGauges(this.servers, this.sharedNotices, this.serverLimits, this.slots, this.paths,
				this.tunnels, this.traits, this.gossipBudget, this.latencyPressure)
			.list());
		gauges.addAll(new ClientGauges(this.memory, this.frontendServer).list());
		return new MetricsPage(this.counts, gauges);
	}

	private void startPeriodicTasks() {
		this.subscriptions.start(this.settings.bounds());
		this.noticeGossip.ifPresent((gossip) -> this.eventLoop.scheduleAtFixedRate(gossip::runRound,
				ServerNoticeGossip.ROUND_MILLIS, ServerNoticeGossip.ROUND_MILLIS, TimeUnit.MILLISECONDS));
		this.limitGossip.ifPresent((gossip) -> this.eventLoop.scheduleAtFixedRate(gossip::runRound,
				LimitGossip.ROUND_MILLIS, LimitGossip.ROUND_MILLIS, TimeUnit.MILLISECONDS));
		this.eventLoop.scheduleAtFixedRate(this.traits::runRound, TraitGossip.ROUND_MILLIS, TraitGossip.ROUND_MILLIS,
				TimeUnit.MILLISECONDS);
		this.eventLoop.scheduleAtFixedRate(this.slots::runRound, FleetSlots.ROUND_MILLIS, FleetSlots.ROUND_MILLIS,
				TimeUnit.MILLISECONDS);
		this.eventLoop.scheduleAtFixedRate(this::tick, POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void schedule(Runnable task, long millis) {
		this.eventLoop.schedule(task, millis, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		logReadinessChange();
		this.updates.removeExpired();
		this.servers.cold().removeExpired(this.servers::displayName);
		this.updates.releaseHeldBack();
		updateRetryLimits();
		this.rollouts.tick();
		this.crashes.tick();
		this.traits.tick();
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
		updateRetryLimits();
		this.rollouts.setOptions(rolloutOptions(bounds));
		this.readForwarder.ifPresent((forwarder) -> forwarder.setReaderTimeout(peerReaderTimeoutNanos(bounds)));
		this.gossipBudget.setMaxBytesPerSecond(changed.sightingBytesPerSecond());
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

	// Called regularly, since the number of known hosts changes.
	private void updateRetryLimits() {
		EntrySettings.Bounds bounds = this.settings.bounds();
		this.retryBudget.setLimits(bounds.repeatRatio(), slackPerHost(bounds));
	}

	private double slackPerHost(EntrySettings.Bounds bounds) {
		return RetryBudget.slackPerHost(bounds.repeatSlack(), this.permits.hosts());
	}

	private RolloutCoordinator.Options rolloutOptions(EntrySettings.Bounds bounds) {
		return new RolloutCoordinator.Options(bounds.exposureShare(), bounds.exposureSlack(),
				() -> this.permits.hosts(), TimeUnit.MILLISECONDS.toNanos(bounds.sessionMillis()));
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
			boolean idleInTime = this.idle.await(untilLastResponses(), TimeUnit.MILLISECONDS);
			if (!idleInTime) {
				this.eventLoop.execute(this.frontendServer::endRequests);
				this.idle.await(LAST_RESPONSES_MILLIS, TimeUnit.MILLISECONDS);
			}
			logger.info(GatewayEvents.STOPPED, this.settings.host(),
					TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began), idleInTime ? "no" : "some");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private long untilLastResponses() {
		return this.settings.bounds().stopMillis() - EXIT_MARGIN_MILLIS - LAST_RESPONSES_MILLIS;
	}

	private void drain() {
		this.frontendServer.drain(untilLastResponses());
		this.tunnels.ifPresent(TunnelServer::drain);
		logger.info(GatewayEvents.DRAINING, this.settings.host(), this.frontendServer.connections(),
				this.frontendServer.activeRequests());
		this.eventLoop.schedule(this::stopListening, KEEP_LISTENING_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void stopListening() {
		this.frontendServer.stopListening();
		this.eventLoop.scheduleAtFixedRate(this::signalIfIdle, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void signalIfIdle() {
		boolean carries = this.tunnels.filter((helping) -> helping.connections() > 0).isPresent();
		if (this.frontendServer.connections() == 0 && !carries) {
			this.idle.countDown();
		}
	}

}
