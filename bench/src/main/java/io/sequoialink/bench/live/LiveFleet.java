package io.sequoialink.bench.live;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.sequoialink.catalogue.Change;
import io.sequoialink.catalogue.Verdict;
import io.sequoialink.daemon.host.EntryHost;
import io.sequoialink.daemon.host.HostIdentity;
import io.sequoialink.daemon.host.HostPolicies;
import io.sequoialink.daemon.host.OutsideSystems;
import io.sequoialink.daemon.http.HttpLimits;
import io.sequoialink.membership.Member;
import io.sequoialink.membership.PeerKeys;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.HostId;
import io.sequoialink.remote.HttpClientPool;
import io.sequoialink.remote.HttpEngineClient;
import io.sequoialink.remote.HttpHostDirectory;
import io.sequoialink.remote.HttpPlatformLog;
import io.sequoialink.remote.HttpRatingService;
import io.sequoialink.remote.HttpServiceClient;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.router.SessionTokens;
import io.sequoialink.standin.Standins;

/**
 * Entry hosts of one process over real loopback sockets before stand-ins. Confined to one
 * thread, but for {@link #hosts()}.
 */
public final class LiveFleet implements AutoCloseable {

	private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration RATING_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration LOG_RETENTION = Duration.ofHours(24);

	private static final long POLL_MILLIS = 20;

	private static final byte[] PEER_KEY = "peer-key-of-the-embedded-fleet-00".getBytes(StandardCharsets.UTF_8);

	private final String deployment;

	private final Standins standins;

	private final HostPolicies.Factory policies;

	private final long seed;

	private final List<EntryHost> hosts = new ArrayList<>();

	private final List<HttpClientPool> pools = new ArrayList<>();

	private final LongSupplier incarnations;

	private int started;

	private LiveFleet(String deployment, Standins standins, HostPolicies.Factory policies, long seed,
			LongSupplier incarnations) {
		this.incarnations = incarnations;
		this.deployment = deployment;
		this.standins = standins;
		this.policies = policies;
		this.seed = seed;
	}

	/**
	 * Starts hosts before running stand-ins, publishes the deployment's configuration and
	 * waits until every host is ready.
	 * @param deployment {@code magnolia} or {@code bergvik}
	 * @param standins the stand-ins, which the fleet closes
	 * @param hosts the number of hosts
	 * @param policies builds the policies of each host
	 * @param seed seed of the hosts' random choices
	 * @return the running fleet
	 * @throws FleetException if it can't be started
	 */
	public static LiveFleet start(String deployment, Standins standins, int hosts, HostPolicies.Factory policies,
			long seed) throws FleetException {
		return start(deployment, standins, hosts, policies, seed, System::currentTimeMillis);
	}

	/**
	 * Starts hosts whose identifiers of requests do not depend on the time.
	 * @param deployment {@code magnolia} or {@code bergvik}
	 * @param standins the stand-ins, which the fleet closes
	 * @param hosts the number of hosts
	 * @param policies builds the policies of each host
	 * @param seed seed of the hosts' random choices
	 * @param incarnations gives the start time of each host, epoch milliseconds
	 * @return the running fleet
	 * @throws FleetException if it can't be started
	 */
	public static LiveFleet start(String deployment, Standins standins, int hosts, HostPolicies.Factory policies,
			long seed, LongSupplier incarnations) throws FleetException {
		LiveFleet fleet = new LiveFleet(deployment, standins, policies, seed, incarnations);
		try {
			for (int i = 0; i < hosts; i++) {
				fleet.addHost();
			}
			fleet.publish(DeploymentObjects.of(deployment, standins.outcomes().table()));
			fleet.awaitReady();
			return fleet;
		}
		catch (Exception ex) {
			fleet.close();
			throw new FleetException("the fleet did not start", ex);
		}
	}

	/**
	 * Starts one more host, as the platform does for a lost one.
	 * @return the host
	 * @throws Exception if a port can't be bound
	 */
	public EntryHost addHost() throws Exception {
		int number = this.started++;
		HttpClientPool pool = new HttpClientPool();
		this.pools.add(pool);
		List<InetSocketAddress> seeds = this.hosts.stream()
			.map((host) -> host.peers().self())
			.map((self) -> new InetSocketAddress(self.ip(), self.port()))
			.toList();
		HostIdentity identity = new HostIdentity(new HostId("host-" + number), this.incarnations.getAsLong(),
				zone(number), "127.0.0.1", 0, 0, seeds, PeerKeys.builder().accept("p1", PEER_KEY).active("p1").build(),
				new SessionTokens("s1", Map.of("s1", PEER_KEY)), Optional.empty(), HttpLimits.DEFAULT,
				Duration.ofSeconds(30), this.seed + number);
		EntryHost host = EntryHost.start(identity, outside(pool), this.policies);
		this.hosts.add(host);
		return host;
	}

	private String zone(int number) {
		List<String> zones = this.standins.engines()
			.values()
			.stream()
			.map((engine) -> engine.directoryEntry().zone())
			.distinct()
			.sorted()
			.toList();
		return zones.get(number % zones.size());
	}

	private OutsideSystems outside(HttpClientPool pool) {
		return new OutsideSystems(new HttpPlatformLog(pool, this.standins.log().address(), CALL_TIMEOUT),
				new HttpHostDirectory(pool, this.standins.directory().address(), CALL_TIMEOUT),
				new HttpRatingService(pool, this.standins.rating().address(), RATING_TIMEOUT),
				new HttpEngineClient(pool, CALL_TIMEOUT), new HttpServiceClient(pool), LOG_RETENTION);
	}

	/**
	 * Publishes objects through the first host, each as a change against its present
	 * revision.
	 * @param objects the objects
	 * @throws LogUnavailableException if the log does not take one
	 */
	public void publish(List<? extends ConfigObject> objects) throws LogUnavailableException {
		EntryHost host = this.hosts.get(0);
		for (ConfigObject object : objects) {
			long revision = host.catalogue().view().entry(object.key()).map(CatalogueView.Entry::revision).orElse(-1L);
			String id = "publish-" + object.key().kind() + "-" + object.key().name() + "-" + revision;
			Verdict verdict = host.catalogue()
				.apply(new Change(id, object.key(), revision, Optional.of(object), "bench", "published by the bench"));
			if (verdict.kind() != Verdict.Kind.ACCEPTED) {
				throw new IllegalStateException(object.key() + " was not accepted: " + verdict.explanation());
			}
		}
	}

	/**
	 * Waits until every host is ready, knows all members and has folded the newest
	 * revision.
	 * @throws FleetException if that takes too long
	 */
	public void awaitReady() throws FleetException {
		long revision = this.hosts.get(0).catalogue().view().revision();
		await(() -> this.hosts.stream()
			.allMatch((host) -> host.ready() && host.catalogue().view().revision() >= revision && alive(host)));
	}

	private boolean alive(EntryHost host) {
		return host.peers()
			.members()
			.stream()
			.filter((member) -> member.state() == Member.State.ALIVE)
			.count() >= this.hosts.size();
	}

	/**
	 * Waits for a condition.
	 * @param condition the condition
	 * @throws FleetException if it does not hold in time
	 */
	public static void await(BooleanSupplier condition) throws FleetException {
		long end = System.nanoTime() + READY_TIMEOUT.toNanos();
		try {
			while (!condition.getAsBoolean()) {
				if (System.nanoTime() > end) {
					throw new FleetException("what was waited for did not happen within " + READY_TIMEOUT, null);
				}
				Thread.sleep(POLL_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new FleetException("interrupted", ex);
		}
	}

	/**
	 * Stops a host at once, as a lost host would.
	 * @param host the host
	 */
	public void kill(EntryHost host) {
		this.hosts.remove(host);
		host.close();
	}

	/**
	 * Returns the running hosts.
	 * @return a copy
	 */
	public List<EntryHost> hosts() {
		return List.copyOf(this.hosts);
	}

	/**
	 * Returns the stand-ins.
	 * @return the stand-ins
	 */
	public Standins standins() {
		return this.standins;
	}

	/**
	 * Returns the deployment.
	 * @return {@code magnolia} or {@code bergvik}
	 */
	public String deployment() {
		return this.deployment;
	}

	@Override
	public void close() {
		this.hosts.forEach(EntryHost::close);
		this.hosts.clear();
		this.pools.forEach(HttpClientPool::close);
		this.standins.close();
	}

}
