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
 * One entry host: wires the data path to the platform, starts and stops it. All parts run
 * on one event loop; {@link #start()} and {@link #stop()} may be called from any thread.
 */
public final class EntryHost {

	private static final Logger logger = LoggerFactory.getLogger(EntryHost.class);

	/**
	 * Time from the request to stop until the platform sends no more connections, in
	 * milliseconds.
	 */
	private static final long LISTEN_MILLIS = 2700;

	/**
	 * Part of the time to stop that is left for the end of the process, in milliseconds.
	 */
	private static final long END_MARGIN_MILLIS = 300;

	private static final long POLL_MILLIS = 100;

	/**
	 * Bounds that may pass without a word of the host that reads for this one; until then
	 * this host reads beside it in time.
	 */
	private static final int READER_SILENCE_BOUNDS = 2;

	/**
	 * Where the metrics stand, beside the platform's question whether the host is ready.
	 */
	private static final String METRICS_PATH = "/metrics";

	/**
	 * Repeats of one host beyond its share, small enough that the common slack holds for
	 * hundreds of hosts.
	 */
	private static final double MAX_HOST_SLACK = 1;

	private volatile EntrySettings settings;

	private final NioEventLoopGroup loops = new NioEventLoopGroup(1);

	private final EventLoop loop = this.loops.next();

	private final FleetView view = new FleetView();

	private final StoreConnectionPool store;

	private final GatewayCounts counts = new GatewayCounts();

	private final StoreReading reading;

	private final PeerSocket peerSocket = new PeerSocket();

	private final Optional<ReadRelay> relay;

	private final FleetSightings sightings = new FleetSightings();

	private final Optional<SightingRelay> sightingRelay;

	private final ServerTable servers;

	private final RolloutWatch rollouts;

	private final CrashWatch crashes;

	private final FleetUpdates updates;

	private final RepeatBudget budget;

	private final Strain strain = new Strain();

	private final FrontServer front;

	private final CountDownLatch idle = new CountDownLatch(1);

	private final long createdNanos = System.nanoTime();

	private volatile boolean draining;

	private boolean wasReady;

	/**
	 * Creates a host that does not run yet.
	 * @param settings its settings
	 */
	public EntryHost(EntrySettings settings) {
		this.settings = settings;
		EntrySettings.Bounds bounds = settings.bounds();
		this.store = new StoreConnectionPool(settings.store(), this.loop);
		StatusRecords statuses = new StatusRecords(StoreTopic.statuses(this.store), System::currentTimeMillis);
		SplittableRandom random = new SplittableRandom();
		this.rollouts = new RolloutWatch(settings.host(), options(bounds), statuses, System::nanoTime, random);
		StartGate gate = new StartGate();
		// on an order, calls that wait for crashes only are made again with shorter
		// waits
		this.updates = new FleetUpdates(this.view, this.rollouts, () -> readClosely(statuses), gate::open,
				System::nanoTime);
		this.crashes = new CrashWatch(settings.host(), statuses, this::later, System::nanoTime,
				() -> readClosely(statuses));
		this.servers = new ServerTable(this.view, new ServerNotices(System::nanoTime, random, this::heard),
				this.sightings);
		this.relay = settings.peers().map(this::relay);
		this.sightingRelay = this.relay
			.map((known) -> new SightingRelay(this.sightings, known, this.peerSocket, settings.sightingBytesPerSecond(),
					this.servers::name, System::nanoTime, System::currentTimeMillis, random));
		statuses.setReceivers(this.updates, this.crashes::take,
				this.relay.<PeerDirectory>map((known) -> known).orElse(PeerDirectory.NONE));
		this.reading = new StoreReading(this.store, this.updates, statuses,
				() -> this.rollouts.underWay() || this.crashes.close(), this::later,
				new StoreWatch(this.counts.storeCalls(), this.counts.toldReads()),
				this.relay.<ReadSharing>map((known) -> known).orElse(ReadSharing.NONE));
		this.relay.ifPresent((known) -> this.updates
			.whenStatusesRead(new PeerAnnouncement(known, statuses, this::later)::statusesRead));
		this.budget = new RepeatBudget(bounds.repeatRatio(), hostSlack(bounds),
				TimeUnit.MILLISECONDS.toNanos(bounds.repeatWindowMillis()));
		this.front = new FrontServer(gateway(gate, random));
	}

	private Gateway gateway(StartGate gate, RandomGenerator random) {
		PlatformHeaders dialect = new PlatformHeaders();
		ReadingSpeed speed = new ReadingSpeed();
		return new Gateway(gate, this.view, this.servers,
				new LeastWorkChoice(this.servers, speed, this.settings.zone(), System::nanoTime, random),
				new ConfidenceCascade(ConfidenceCascade.Options.DEFAULT), this.strain, new WorkDensity(), this.rollouts,
				speed, new UsualPace(), new BackendPool(this.loops, dialect), dialect, this.budget, this.crashes,
				new HeldAnswers(), this.counts, System::nanoTime);
	}

	private void heard(ServerEntry server, ServerWord word) {
		long incarnation = ServerState.incarnation(server);
		long now = System.nanoTime();
		if (word.leaving()) {
			this.sightings.leaves(incarnation, now);
		}
		word.spareMillis()
			.ifPresent((millis) -> this.sightings.spared(incarnation, now + TimeUnit.MILLISECONDS.toNanos(millis)));
	}

	private void received(ReadRelay reads, InetAddress from, byte[] datagram) {
		if (SightingRelay.handles(datagram)) {
			this.sightingRelay.ifPresent((known) -> known.received(from, datagram));
		}
		else {
			reads.received(from, datagram);
		}
	}

	/**
	 * Starts to read the platform's store and to serve.
	 * @throws IOException if clients' address can't be used
	 * @throws InterruptedException if interrupted while sockets are bound
	 */
	public void start() throws IOException, InterruptedException {
		start(ListeningSocket.open(this.settings.clients()));
	}

	/**
	 * Starts to read the platform's store and to serve.
	 * @param clients socket on which clients connect already; from now on this host's
	 * @throws InterruptedException if interrupted while sockets are bound
	 */
	void start(ServerSocketChannel clients) throws InterruptedException {
		this.front.start(this.loops, clients);
		new ReadinessServer(new PlatformHeaders().readinessPath(), this::ready, Map.of(METRICS_PATH, metrics()::text))
			.start(this.loops, this.settings.readiness());
		this.relay.ifPresent((known) -> this.peerSocket.start(this.loops, this.settings.peers().orElseThrow(),
				(from, datagram) -> received(known, from, datagram)));
		this.loop.execute(this::work);
		logger.info(GatewayEvents.STARTED, this.settings.host(), this.settings.zone(), this.settings.clients(),
				this.settings.readiness());
	}

	private ReadRelay relay(InetSocketAddress address) {
		return new ReadRelay(new Peer(this.settings.host(), this.settings.zone(), address), this.peerSocket,
				(read) -> this.reading.shared(read), silenceNanos(this.settings.bounds()), System::nanoTime);
	}

	private static long silenceNanos(EntrySettings.Bounds bounds) {
		return TimeUnit.MILLISECONDS
			.toNanos(READER_SILENCE_BOUNDS * Math.min(bounds.applyMillis(), bounds.leavingMillis()));
	}

	// What hosts publish matters more closely from now on.
	private void readClosely(StatusRecords statuses) {
		this.store.cancelReads();
		statuses.readNow();
	}

	private MetricsPage metrics() {
		return new MetricsPage(this.counts, List.of(
				new MetricsPage.Gauge("sequoialink_ready", "1 while the host takes new connections",
						() -> ready() ? 1 : 0),
				new MetricsPage.Gauge("sequoialink_configuration_version", "Version of the configuration in force",
						() -> this.view.configuration().map(Configuration::version).orElse(0L)),
				new MetricsPage.Gauge("sequoialink_backend_servers", "Known backend servers",
						() -> this.view.servers().size()),
				new MetricsPage.Gauge("sequoialink_client_connections", "Open connections of clients",
						this.front::connections),
				new MetricsPage.Gauge("sequoialink_requests_under_way", "Requests that wait for their answer",
						this.front::underWay),
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

	private void work() {
		this.reading.start(this.settings.bounds());
		this.sightingRelay.ifPresent((known) -> this.loop.scheduleAtFixedRate(known::round, SightingRelay.ROUND_MILLIS,
				SightingRelay.ROUND_MILLIS, TimeUnit.MILLISECONDS));
		this.loop.scheduleAtFixedRate(this::tick, POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void later(Runnable work, long millis) {
		this.loop.schedule(work, millis, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		noteReadiness();
		this.updates.sweep();
		this.rollouts.tick();
		this.crashes.tick();
	}

	private void noteReadiness() {
		boolean now = ready();
		if (now && !this.wasReady) {
			logger.info(GatewayEvents.READY, this.settings.host(),
					this.view.configuration().map(Configuration::version).orElse(0L), this.view.servers().size(),
					TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.createdNanos));
		}
		if (!now && this.wasReady) {
			logger.info(GatewayEvents.NOT_READY, this.settings.host(),
					this.draining ? "it drains" : "its view is gone");
		}
		this.wasReady = now;
	}

	private boolean ready() {
		return !this.draining && this.updates.complete();
	}

	/**
	 * Takes changed settings. Called on the event loop. Addresses of this host stay until
	 * its next start.
	 * @param changed the settings
	 */
	void apply(EntrySettings changed) {
		if (!changed.clients().equals(this.settings.clients()) || !changed.readiness().equals(this.settings.readiness())
				|| !changed.peers().equals(this.settings.peers())) {
			logger.warn(GatewayEvents.SETTINGS_NEED_RESTART);
		}
		this.settings = changed;
		EntrySettings.Bounds bounds = changed.bounds();
		this.store.updateAddress(changed.store());
		this.budget.limits(bounds.repeatRatio(), hostSlack(bounds));
		this.rollouts.options(options(bounds));
		this.relay.ifPresent((known) -> known.silence(silenceNanos(bounds)));
		this.sightingRelay.ifPresent((known) -> known.bytesPerSecond(changed.sightingBytesPerSecond()));
	}

	/**
	 * Runs work on the event loop.
	 * @param work the work
	 */
	void execute(Runnable work) {
		this.loop.execute(work);
	}

	/**
	 * Runs work on the event loop again and again.
	 * @param periodMillis time between two runs, in milliseconds
	 * @param work the work
	 */
	void every(long periodMillis, Runnable work) {
		this.loop.scheduleAtFixedRate(work, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
	}

	private static double hostSlack(EntrySettings.Bounds bounds) {
		return Math.min(MAX_HOST_SLACK, bounds.repeatSlack());
	}

	private static RolloutWatch.Options options(EntrySettings.Bounds bounds) {
		return new RolloutWatch.Options(bounds.exposureShare(), TimeUnit.MILLISECONDS.toNanos(bounds.sessionMillis()));
	}

	/**
	 * Stops: reports not ready, serves on until the platform sends nothing more, and ends
	 * when nothing is under way or the time to stop is over.
	 */
	public void stop() {
		long began = System.nanoTime();
		this.draining = true;
		this.loop.execute(this::drain);
		try {
			boolean quiet = this.idle.await(this.settings.bounds().stopMillis() - END_MARGIN_MILLIS,
					TimeUnit.MILLISECONDS);
			logger.info(GatewayEvents.STOPPED, this.settings.host(),
					TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began), quiet ? "no" : "some");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void drain() {
		this.front.drain();
		logger.info(GatewayEvents.DRAINING, this.settings.host(), this.front.connections(), this.front.underWay());
		this.loop.schedule(this::stopListening, LISTEN_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void stopListening() {
		this.front.stopListening();
		this.loop.scheduleAtFixedRate(this::endIfIdle, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void endIfIdle() {
		if (this.front.connections() == 0) {
			this.idle.countDown();
		}
	}

}
