package io.sequoialink.entry;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.sequoialink.decision.cascade.ConfidenceCascade;
import io.sequoialink.decision.limits.Strain;
import io.sequoialink.decision.limits.WorkDensity;
import io.sequoialink.decision.retry.RepeatBudget;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.count.GatewayCounts;
import io.sequoialink.gateway.crash.CrashWatch;
import io.sequoialink.gateway.feed.FleetUpdates;
import io.sequoialink.gateway.feed.FollowPace;
import io.sequoialink.gateway.feed.RecordSink;
import io.sequoialink.gateway.feed.StoreWatch;
import io.sequoialink.gateway.feed.TopicFollower;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.http.BackendPool;
import io.sequoialink.gateway.http.FrontServer;
import io.sequoialink.gateway.http.Gateway;
import io.sequoialink.gateway.http.ReadinessServer;
import io.sequoialink.gateway.http.StartGate;
import io.sequoialink.gateway.place.LeastWorkChoice;
import io.sequoialink.gateway.place.ReadingSpeed;
import io.sequoialink.gateway.place.ServerTable;
import io.sequoialink.gateway.place.UsualPace;
import io.sequoialink.gateway.rollout.RolloutWatch;
import io.sequoialink.platform.HeaderDialect;
import io.sequoialink.platform.OperatorRecords;
import io.sequoialink.platform.ServerRecords;
import io.sequoialink.platform.StatusRecords;
import io.sequoialink.platform.StoreConnections;
import io.sequoialink.platform.StoreTopic;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One entry host: wires the data path to the platform, starts and stops it. All parts run
 * on one event loop; {@link #start()} and {@link #stop()} may be called from any thread.
 */
public final class EntryHost {

	private static final Logger logger = LoggerFactory.getLogger(EntryHost.class);

	/** Pause after a call to the store that failed, in milliseconds. */
	private static final int RETRY_MILLIS = 300;

	/**
	 * Part of the time in which a configuration must be in force that the store may wait
	 * for one: a call that was made while the store was slow may bring nothing.
	 */
	private static final double APPLY_PART = 0.7;

	/**
	 * How long the store may wait for servers, which write all the time, in milliseconds.
	 */
	private static final int SERVERS_WAIT_MILLIS = 500;

	/**
	 * Part of the time in which a leaving server must be noticed that may pass between
	 * two reads.
	 */
	private static final double LEAVING_PART = 0.7;

	/**
	 * Longest such pause of the topic that is read most often; the others hear of the
	 * store's return from it.
	 */
	private static final int SERVERS_RETRY_MILLIS = 600;

	private static final int LONGEST_RETRY_MILLIS = 2400;

	/**
	 * All hosts publish while a roll-out is under way, so each reads what came together
	 * in a while instead of one record after the other.
	 */
	private static final FollowPace ROLLOUT_PACE = new FollowPace(1000, 1000, 1500, RETRY_MILLIS, LONGEST_RETRY_MILLIS);

	/**
	 * At other times hosts publish only crashes: rare, and to be known within seconds.
	 */
	private static final FollowPace CRASH_PACE = new FollowPace(20_000, 2000, 300, RETRY_MILLIS, LONGEST_RETRY_MILLIS);

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

	private final StoreConnections store;

	private final GatewayCounts counts = new GatewayCounts();

	private final StoreWatch storeWatch = new StoreWatch(this.counts.storeCalls());

	private final StoreTopic statusTopic;

	private final StatusRecords statuses;

	private final RolloutWatch rollouts;

	private final FleetUpdates updates;

	private final RepeatBudget budget;

	private final Strain strain = new Strain();

	private final FrontServer front;

	private final CountDownLatch idle = new CountDownLatch(1);

	private volatile boolean draining;

	/**
	 * Creates a host that does not run yet.
	 * @param settings its settings
	 */
	public EntryHost(EntrySettings settings) {
		this.settings = settings;
		HeaderDialect dialect = new HeaderDialect();
		EntrySettings.Bounds bounds = settings.bounds();
		this.store = new StoreConnections(settings.store(), this.loop);
		this.statusTopic = StoreTopic.statuses(this.store);
		this.statuses = new StatusRecords(this.statusTopic);
		SplittableRandom random = new SplittableRandom();
		this.rollouts = new RolloutWatch(settings.host(),
				new RolloutWatch.Options(bounds.exposureShare(), TimeUnit.MILLISECONDS.toNanos(bounds.sessionMillis())),
				this.statuses, System::nanoTime, random);
		StartGate gate = new StartGate();
		this.updates = new FleetUpdates(this.view, this.rollouts, this::renewStatuses, gate::open, System::nanoTime);
		CrashWatch crashes = new CrashWatch(settings.host(), this.statuses, this::later, System::nanoTime);
		this.statuses.readInto(this.updates, crashes::take);
		ServerTable servers = new ServerTable(this.view);
		ReadingSpeed speed = new ReadingSpeed();
		this.budget = new RepeatBudget(bounds.repeatRatio(), hostSlack(bounds),
				TimeUnit.MILLISECONDS.toNanos(bounds.repeatWindowMillis()));
		Gateway gateway = new Gateway(gate, this.view, servers,
				new LeastWorkChoice(servers, speed, settings.zone(), System::nanoTime, random),
				new ConfidenceCascade(ConfidenceCascade.Options.DEFAULT), this.strain, new WorkDensity(), this.rollouts,
				speed, new UsualPace(), new BackendPool(this.loops, dialect), dialect, this.budget, crashes,
				this.counts, System::nanoTime);
		this.front = new FrontServer(gateway);
	}

	/**
	 * Starts to read the platform's store and to serve.
	 * @throws InterruptedException if interrupted while sockets are bound
	 */
	public void start() throws InterruptedException {
		this.front.start(this.loops, this.settings.clients());
		new ReadinessServer(new HeaderDialect().readinessPath(), this::ready, Map.of(METRICS_PATH, metrics()::text))
			.start(this.loops, this.settings.readiness());
		this.loop.execute(this::follow);
		logger.info(GatewayEvents.STARTED, this.settings.host(), this.settings.zone(), this.settings.clients(),
				this.settings.readiness());
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
				new MetricsPage.Gauge("sequoialink_strain", "How hard pressed the engines are, from 0 to 1",
						() -> this.strain.value())));
	}

	private void follow() {
		EntrySettings.Bounds bounds = this.settings.bounds();
		int wait = (int) (APPLY_PART * bounds.applyMillis());
		follow(StoreTopic.operator(this.store), new OperatorRecords(this.updates),
				() -> new FollowPace(wait, wait, 0, RETRY_MILLIS, LONGEST_RETRY_MILLIS));
		int pause = (int) (LEAVING_PART * bounds.leavingMillis());
		follow(StoreTopic.servers(this.store), new ServerRecords(this.updates),
				() -> new FollowPace(SERVERS_WAIT_MILLIS, SERVERS_WAIT_MILLIS, pause, RETRY_MILLIS,
						SERVERS_RETRY_MILLIS));
		TopicFollower published = follow(this.statusTopic, this.statuses,
				() -> this.rollouts.underWay() ? ROLLOUT_PACE : CRASH_PACE);
		this.statuses.readNowWith(published::readNow);
		this.loop.scheduleAtFixedRate(this::tick, POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
	}

	// A call that waits for crashes would wait too long while a roll-out is under way.
	private void renewStatuses() {
		this.statusTopic.renewWaiting();
	}

	private TopicFollower follow(StoreTopic topic, RecordSink sink, Supplier<FollowPace> pace) {
		TopicFollower follower = new TopicFollower(topic, sink, pace, this::later, System::nanoTime, this.storeWatch);
		follower.start();
		return follower;
	}

	private void later(Runnable work, long millis) {
		this.loop.schedule(work, millis, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		this.updates.sweep();
		this.rollouts.tick();
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
		if (!changed.clients().equals(this.settings.clients())
				|| !changed.readiness().equals(this.settings.readiness())) {
			logger.warn(GatewayEvents.SETTINGS_NEED_RESTART);
		}
		this.settings = changed;
		EntrySettings.Bounds bounds = changed.bounds();
		this.store.address(changed.store());
		this.budget.limits(bounds.repeatRatio(), hostSlack(bounds));
		this.rollouts.options(options(bounds));
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
