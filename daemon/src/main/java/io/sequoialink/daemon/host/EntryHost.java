package io.sequoialink.daemon.host;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import io.sequoialink.catalogue.Catalogue;
import io.sequoialink.catalogue.LogCatalogue;
import io.sequoialink.daemon.http.AdminRoutes;
import io.sequoialink.daemon.http.Frontend;
import io.sequoialink.daemon.http.Metrics;
import io.sequoialink.daemon.http.PublicRoutes;
import io.sequoialink.decision.routing.OutlierDetector;
import io.sequoialink.ledger.claims.LogClaimTable;
import io.sequoialink.membership.GossipPeers;
import io.sequoialink.membership.Member;
import io.sequoialink.membership.Peers;
import io.sequoialink.model.HostId;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.PlatformLog;
import io.sequoialink.router.BrakeTable;
import io.sequoialink.router.ChatRouter;
import io.sequoialink.router.Clock;
import io.sequoialink.router.ExplanationStore;
import io.sequoialink.router.FreshnessPolicy;
import io.sequoialink.router.RouterContext;
import io.sequoialink.router.ServerTable;
import io.sequoialink.router.ServiceRouter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One running entry host. Thread-safe. It keeps nothing on disk: its state is folded from
 * the platform log and learnt from peers, and its duties are the same as every other
 * host's.
 */
public final class EntryHost implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(EntryHost.class);

	private static final Duration BILL_FLUSH_PATIENCE = Duration.ofSeconds(5);

	private static final Duration EXPLAIN_PATIENCE = Duration.ofSeconds(2);

	private static final int EXPLANATIONS = 10_000;

	private static final int RATING_THREADS = 64;

	private static final int RATING_QUEUE = 4_096;

	private static final int CHECKPOINT_WRITERS = 2;

	private static final int CHECKPOINTS_A_RETENTION = 4;

	private static final int CLAIM_WINDOWS_A_RETENTION = 2;

	private static final Duration LONGEST_PART = Duration.ofHours(1);

	private static final long IDLE_SECONDS = 30;

	private final HostIdentity identity;

	private final GossipPeers peers;

	private final LogCatalogue catalogue;

	private final LogClaimTable claims;

	private final HostBills bills;

	private final ServerTable servers;

	private final HostPolicies policies;

	private final Frontend frontend;

	private final Duties duties;

	private final ThreadPoolExecutor ratingExecutor;

	private final int httpPort;

	private EntryHost(HostIdentity identity, OutsideSystems outside, HostPolicies.Factory factory) throws Exception {
		this.identity = identity;
		this.peers = GossipPeers.builder()
			.self(new Member(identity.host(), identity.incarnation(), identity.ip(), identity.peerPort(),
					identity.zone(), Member.State.ALIVE, -1))
			.keys(identity.peerKeys())
			.seeds(identity.seeds())
			.random(new Random(identity.seed()))
			.start();
		this.catalogue = LogCatalogue.builder(outside.log().stream(PlatformLog.CONFIG))
			.checkpointWriter(() -> picked("checkpoint", CHECKPOINT_WRITERS))
			.checkpointAge(part(outside.logRetention(), CHECKPOINTS_A_RETENTION))
			.build();
		this.claims = LogClaimTable.builder(outside.log().stream(PlatformLog.CLAIMS))
			.window(part(outside.logRetention(), CLAIM_WINDOWS_A_RETENTION))
			.build();
		this.bills = new HostBills(this.peers, outside.log().stream(PlatformLog.BILLS));
		AtomicReference<ServerTable> table = new AtomicReference<>();
		this.policies = factory.create(new PolicyInputs(identity.host(), identity.incarnation(), this::liveHosts,
				() -> table.get().estimatedEngineCapacity(), () -> this.catalogue.view().revision()));
		this.servers = new ServerTable(identity.zone(), Clock.SYSTEM, new OutlierDetector(this.policies.outliers()));
		table.set(this.servers);
		this.ratingExecutor = ratingExecutor(identity.host());
		BrakeTable brakeTable = new BrakeTable();
		BrakeExchange brakes = new BrakeExchange(this.peers, brakeTable, this.policies.crash(),
				this.policies.rollout());
		Metrics metrics = new Metrics();
		RouterContext context = context(outside, brakeTable, brakes, metrics);
		ExplainExchange explain = new ExplainExchange(this.peers, context.explanations());
		this.frontend = new Frontend(identity.limits(), requestIds(identity));
		PublicRoutes.set(this.frontend, identity.limits(), new ChatRouter(context), new ServiceRouter(context),
				this.catalogue, metrics, this::ready);
		new AdminRoutes(this.frontend, identity.limits(), identity.adminKey()).set(this.catalogue, this.peers,
				(request) -> explain.find(request, EXPLAIN_PATIENCE), this.bills::fold);
		this.duties = new Duties(identity.host().value());
		startDuties(outside, brakes);
		this.httpPort = this.frontend.start(identity.ip(), identity.httpPort());
		LOG.info(HostEvents.STARTED, identity.host(), identity.zone(), this.httpPort, this.peers.self().port());
	}

	/**
	 * Starts a host with the default policies.
	 * @param identity the host
	 * @param outside the clients of the outside systems, which the caller closes
	 * @return the running host
	 * @throws Exception if a port can't be bound
	 */
	public static EntryHost start(HostIdentity identity, OutsideSystems outside) throws Exception {
		return start(identity, outside, HostPolicies.DEFAULT);
	}

	/**
	 * Starts a host.
	 * @param identity the host
	 * @param outside the clients of the outside systems, which the caller closes
	 * @param policies builds the policies
	 * @return the running host
	 * @throws Exception if a port can't be bound
	 */
	public static EntryHost start(HostIdentity identity, OutsideSystems outside, HostPolicies.Factory policies)
			throws Exception {
		return new EntryHost(identity, outside, policies);
	}

	private static ThreadPoolExecutor ratingExecutor(HostId host) {
		ThreadPoolExecutor executor = new ThreadPoolExecutor(RATING_THREADS, RATING_THREADS, IDLE_SECONDS,
				TimeUnit.SECONDS, new ArrayBlockingQueue<>(RATING_QUEUE), (task) -> {
					Thread thread = new Thread(task, host + "-rating");
					thread.setDaemon(true);
					return thread;
				});
		executor.allowCoreThreadTimeOut(true);
		return executor;
	}

	private static Supplier<RequestId> requestIds(HostIdentity identity) {
		AtomicLong counter = new AtomicLong();
		String prefix = identity.host() + "." + Long.toString(identity.incarnation(), Character.MAX_RADIX) + ".";
		return () -> new RequestId(prefix + counter.incrementAndGet());
	}

	private RouterContext context(OutsideSystems outside, BrakeTable brakeTable, BrakeExchange brakes,
			Metrics metrics) {
		Random seeds = new Random(this.identity.seed());
		return new RouterContext(this.catalogue, this.servers, brakeTable, brakes, this.identity.sessions(),
				FreshnessPolicy.STRICT, this.policies.cascade(), this.policies.rollout(), this.policies.servers(),
				this.policies.retry(), this.policies.admission(), this.policies.crash(), outside.engines(),
				outside.services(), outside.ratings(), this.ratingExecutor, this.claims, this.bills.journal(),
				new ExplanationStore(EXPLANATIONS), metrics, Clock.SYSTEM, () -> new Random(seeds.nextLong()));
	}

	private void startDuties(OutsideSystems outside, BrakeExchange brakes) {
		ServerWatch watch = new ServerWatch(this.identity.host(), this.identity.zone(), outside.directory(),
				outside.engines(), this.servers);
		EvidenceExchange evidence = new EvidenceExchange(this.peers, this.policies.rollout(), this.identity.seed());
		DemandExchange demand = new DemandExchange(this.peers, this.policies.admission(), this.identity.seed());
		RolloutDuty rollouts = new RolloutDuty(this.identity.host(), this.catalogue, this.policies.rollout(), brakes,
				Clock.SYSTEM);
		TailExchange tail = new TailExchange(this.peers, this.catalogue, this.identity.seed());
		this.duties.repeat("read-configuration", Duration.ofMillis(200), () -> {
			this.catalogue.poll();
			this.peers.announceRevision(this.catalogue.view().revision());
		});
		this.duties.repeat("ask-peers-for-tail", Duration.ofMillis(250), () -> {
			tail.askIfStale();
			this.peers.announceRevision(this.catalogue.view().revision());
		});
		this.duties.repeat("write-checkpoint", Duration.ofSeconds(5), this.catalogue::writeCheckpointIfDue);
		this.duties.repeat("record-claims", Duration.ofMillis(50), this.claims::flush);
		this.duties.run(this.bills.journal()::start);
		this.duties.repeat("read-directory", Duration.ofSeconds(1), watch::readDirectory);
		this.duties.repeat("read-loads", Duration.ofMillis(250), watch::readLoads);
		this.duties.repeat("exchange-evidence", Duration.ofMillis(250), evidence::send);
		this.duties.repeat("exchange-demand", Duration.ofMillis(500), demand::send);
		SuspicionExchange suspicions = new SuspicionExchange(this.peers, this.policies.crash());
		this.duties.repeat("tell-suspicions", Duration.ofMillis(25), suspicions::tellIfChanged);
		this.duties.repeat("learn-brakes", Duration.ofMillis(100), brakes::learn);
		this.duties.repeat("judge-rollouts", Duration.ofMillis(100), rollouts::judge);
	}

	private static Duration part(Duration retention, int parts) {
		Duration part = retention.dividedBy(parts);
		return (part.compareTo(LONGEST_PART) < 0) ? part : LONGEST_PART;
	}

	private List<HostId> liveHosts() {
		return this.peers.members()
			.stream()
			.filter((member) -> member.state() != Member.State.DEAD)
			.map(Member::host)
			.toList();
	}

	private boolean picked(String duty, int count) {
		return Rendezvous.pick(duty, liveHosts(), count).contains(this.identity.host());
	}

	/**
	 * Returns whether the host may receive requests.
	 * @return whether its configuration is current and it knows backend servers
	 */
	public boolean ready() {
		return this.catalogue.age().compareTo(FreshnessPolicy.MAX_AGE) <= 0 && this.catalogue.view().revision() >= 0
				&& !this.servers.servers().isEmpty();
	}

	/**
	 * Returns the port for callers and operators.
	 * @return the bound port
	 */
	public int httpPort() {
		return this.httpPort;
	}

	/**
	 * Returns the configuration.
	 * @return the catalogue
	 */
	public Catalogue catalogue() {
		return this.catalogue;
	}

	/**
	 * Returns the other hosts.
	 * @return the peers
	 */
	public Peers peers() {
		return this.peers;
	}

	/**
	 * Returns the requests in progress.
	 * @return the number
	 */
	public int inProgress() {
		return this.frontend.inFlight().count();
	}

	/**
	 * Returns what the host is.
	 * @return the identity
	 */
	public HostIdentity identity() {
		return this.identity;
	}

	/**
	 * Stops gracefully: refuses new requests, finishes those in progress up to the drain
	 * limit, appends bills and outcomes, tells its peers, closes.
	 * @return the requests that were cut off
	 */
	public int stop() {
		int cut = this.frontend.drain(this.identity.drainLimit());
		this.claims.flush();
		this.frontend.closeGracefully();
		int heldHere = this.bills.journal().flush(BILL_FLUSH_PATIENCE);
		close();
		LOG.info(HostEvents.STOPPED, this.identity.host(), cut, heldHere);
		return cut;
	}

	/**
	 * Stops at once, as a lost host would: nothing is finished or flushed.
	 */
	@Override
	public void close() {
		this.duties.close();
		this.frontend.close();
		this.peers.close();
		this.ratingExecutor.shutdownNow();
	}

}
