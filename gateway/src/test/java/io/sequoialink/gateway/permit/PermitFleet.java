package io.sequoialink.gateway.permit;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.decision.limits.PermitDecision;
import io.sequoialink.decision.limits.PermitIssuer;
import io.sequoialink.decision.limits.PermitSchedule;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.gateway.count.LabelledCounters;
import io.sequoialink.gateway.relay.GossipBudget;
import io.sequoialink.gateway.relay.GossipTargets;
import io.sequoialink.gateway.relay.Peer;
import io.sequoialink.gateway.relay.ReadForwarder;

/**
 * Simulates hosts that forward requests to servers of one service, some of which name
 * limits, in simulated time and with faults. Hosts use the classes of the product; only
 * the choice among the servers is simplified (a random one). Confined to one thread.
 */
final class PermitFleet {

	private static final int HEADER_BYTES = 28;

	private static final int GOSSIP_BYTES_PER_SECOND = 8000;

	private static final long MILLI = 1_000_000L;

	/** Time within which all hosts learn that a host was added, in milliseconds. */
	private static final int VIEW_LAG_MILLIS = 2000;

	/** How long a request waits for a permit if all servers are limited. */
	private static final long WAIT_NANOS = 330 * MILLI;

	private static final int MAX_ASKED = 6;

	private final SplittableRandom random;

	private final AdmissionWay way;

	private final double requestsPerSecond;

	private final List<Host> hosts = new ArrayList<>();

	private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();

	private final List<LimitedServer> servers = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private List<LimitedServer> preferred = List.of();

	private double lossRate;

	private BiPredicate<Integer, Integer> cut = (from, to) -> false;

	private long sequence;

	private long nowNanos = 1_000_000 * MILLI;

	private long sent;

	private long served;

	private long bytes;

	PermitFleet(AdmissionWay way, int hosts, int servers, double requestsPerSecond, long seed) {
		this.random = new SplittableRandom(seed);
		this.way = way;
		this.requestsPerSecond = requestsPerSecond;
		for (int i = 0; i < servers; i++) {
			this.servers.add(new LimitedServer(this.random.nextLong()));
		}
		for (int i = 0; i < hosts; i++) {
			this.hosts.add(new Host(i));
		}
		for (Host host : this.hosts) {
			this.hosts.forEach((other) -> host.view.onPeer(other.self, 0));
			host.start();
		}
	}

	/** Lets hosts choose among some servers while one of them is open. */
	void prefer(List<LimitedServer> some) {
		this.preferred = some;
	}

	/** Runs a task later in simulated time. */
	void after(long millis, Runnable task) {
		schedule(millis, task);
	}

	/**
	 * Tells a host that a server is cold, and possibly that it has restarted.
	 * @param incarnation hash that the host uses for the server from now on
	 */
	void tellCold(int host, LimitedServer server, long incarnation, double perSecond, long leftMillis) {
		Host told = this.hosts.get(host);
		told.incarnations.put(server, incarnation);
		told.cold.registered(incarnation, perSecond, leftMillis * MILLI, this.nowNanos);
	}

	LimitedServer server(int number) {
		return this.servers.get(number);
	}

	List<LimitedServer> servers() {
		return this.servers;
	}

	int size() {
		return this.hosts.size();
	}

	void loseDatagrams(double share) {
		this.lossRate = share;
	}

	void cutDatagrams(BiPredicate<Integer, Integer> between) {
		this.cut = between;
	}

	/** Forgets what was counted until now. */
	void resetCounts() {
		this.sent = 0;
		this.served = 0;
		this.bytes = 0;
	}

	double servedShare() {
		return (double) this.served / this.sent;
	}

	double bytesPerHostAndSecond(double seconds) {
		return this.bytes / seconds / this.hosts.size();
	}

	long nowMillis() {
		return this.nowNanos / MILLI;
	}

	void kill(int number) {
		Host host = this.hosts.get(number);
		host.life++;
		host.down = true;
	}

	/** Starts a killed host again; it knows nothing but the other hosts. */
	void restart(int number) {
		Host killed = this.hosts.get(number);
		Host host = new Host(number);
		host.life = killed.life + 1;
		host.disturbedUntil = nowMillis();
		this.hosts.set(number, host);
		this.hosts.forEach((other) -> host.view.onPeer(other.self, 0));
		host.start();
	}

	/** Adds a host, of which the others learn one after the other. */
	void add() {
		Host added = new Host(this.hosts.size());
		this.hosts.add(added);
		for (Host host : this.hosts) {
			added.view.onPeer(host.self, 0);
			schedule(this.random.nextInt(VIEW_LAG_MILLIS),
					() -> this.hosts.get(host.number).view.onPeer(added.self, 0));
		}
		added.start();
	}

	/** Suspends a host; what would happen on it meanwhile happens at the end. */
	void freeze(int number, long millis) {
		Host host = this.hosts.get(number);
		host.frozenUntil = this.nowNanos + millis * MILLI;
		host.disturbedUntil = nowMillis() + millis;
	}

	void run(long millis) {
		long end = this.nowNanos + millis * MILLI;
		while (!this.events.isEmpty() && this.events.peek().atNanos() <= end) {
			Event event = this.events.poll();
			this.nowNanos = event.atNanos();
			event.work().run();
		}
		this.nowNanos = end;
	}

	private void schedule(long millis, Runnable work) {
		scheduleNanos(millis * MILLI, work);
	}

	private void scheduleNanos(long nanos, Runnable work) {
		this.events.add(new Event(this.nowNanos + nanos, this.sequence++, work));
	}

	private record Event(long atNanos, long order, Runnable work) implements Comparable<Event> {
		@Override
		public int compareTo(Event other) {
			return (this.atNanos != other.atNanos) ? Long.compare(this.atNanos, other.atNanos)
					: Long.compare(this.order, other.order);
		}
	}

	/** One simulated host. */
	private final class Host {

		private final int number;

		private final Peer self;

		private final ReadForwarder view;

		private final ServerLimits limits = new ServerLimits();

		private final ColdServers cold = new ColdServers();

		private final Map<LimitedServer, Long> incarnations = new HashMap<>();

		private final FleetPermits permits;

		private final LimitGossip gossip;

		private final Map<Long, PermitSchedule> ownSchedules = new HashMap<>();

		private int life;

		private boolean down;

		private long frozenUntil;

		private long disturbedUntil;

		private Host(int number) {
			this.number = number;
			this.self = new Peer(String.format("h-%03d", number), "zone-" + number % 4,
					new InetSocketAddress("10.0." + number / 250 + "." + (1 + number % 250), 1000));
			PermitFleet.this.numbers.put(this.self.address(), number);
			this.view = new ReadForwarder(this.self, this::transmit, (read) -> {
			}, TimeUnit.SECONDS.toNanos(4), this::clock);
			SplittableRandom own = new SplittableRandom(PermitFleet.this.random.nextLong());
			this.permits = new FleetPermits(this.self, this.view::otherPeers, this.limits, this.cold, this::transmit,
					this::later, new LabelledCounters("server", "outcome"), Long::toHexString, this::clock, own);
			this.gossip = new LimitGossip(this.self.host(), this.limits, this.permits,
					new GossipTargets(this.view, own), new GossipBudget(GOSSIP_BYTES_PER_SECOND, this::clock),
					this::transmit, Long::toHexString, this::clock, PermitFleet.this::nowMillis);
		}

		private long hash(LimitedServer server) {
			return this.incarnations.getOrDefault(server, server.hash());
		}

		private boolean limited(LimitedServer server) {
			return this.permits.limited(hash(server));
		}

		private long clock() {
			return PermitFleet.this.nowNanos;
		}

		private void start() {
			later(this::round, PermitFleet.this.random.nextInt((int) LimitGossip.ROUND_MILLIS));
			later(this::nextRequest, 1 + PermitFleet.this.random.nextInt(500));
		}

		private void round() {
			this.gossip.runRound();
			later(this::round, LimitGossip.ROUND_MILLIS);
		}

		private void nextRequest() {
			forward(0);
			PermitFleet.this.sent++;
			double seconds = -Math.log(1 - PermitFleet.this.random.nextDouble()) / PermitFleet.this.requestsPerSecond;
			later(this::nextRequest, Math.max(1, (long) (seconds * 1000)));
		}

		// Runs a task unless the host has ended by then; a frozen host runs it later.
		private void later(Runnable work, long millis) {
			int current = this.life;
			schedule(millis, () -> onHost(current, work));
		}

		private void onHost(int expectedLife, Runnable work) {
			if (this.life != expectedLife) {
				return;
			}
			long frozenNanos = this.frozenUntil - PermitFleet.this.nowNanos;
			if (frozenNanos > 0) {
				scheduleNanos(frozenNanos, () -> onHost(expectedLife, work));
				return;
			}
			work.run();
		}

		private void transmit(InetSocketAddress to, byte[] datagram) {
			PermitFleet.this.bytes += datagram.length + HEADER_BYTES;
			Host receiver = PermitFleet.this.hosts.get(PermitFleet.this.numbers.get(to));
			if (PermitFleet.this.random.nextDouble() < PermitFleet.this.lossRate
					|| PermitFleet.this.cut.test(this.number, receiver.number)) {
				return;
			}
			int zoneMillis = this.self.zone().equals(receiver.self.zone()) ? 1 : 12;
			receiver.later(() -> receiver.gossip.onDatagram(this.self.address().getAddress(), datagram),
					zoneMillis + PermitFleet.this.random.nextInt(3));
		}

		private void forward(int asked) {
			List<LimitedServer> open = PermitFleet.this.servers.stream()
				.filter((server) -> opensWithin(server, 0))
				.toList();
			boolean unlimitedLeft = open.stream().anyMatch((server) -> !limited(server));
			List<LimitedServer> candidates = open.isEmpty()
					? PermitFleet.this.servers.stream().filter((server) -> opensWithin(server, WAIT_NANOS)).toList()
					: open;
			if (candidates.isEmpty() || (asked >= MAX_ASKED && !unlimitedLeft)) {
				return;
			}
			LimitedServer chosen = choose(candidates, asked);
			if (PermitFleet.this.way != AdmissionWay.PERMITS) {
				if (PermitFleet.this.way != AdmissionWay.IGNORE) {
					takeOwn(chosen);
				}
				send(chosen);
				return;
			}
			this.permits.acquire(hash(chosen), unlimitedLeft ? 0 : WAIT_NANOS,
					(decision) -> decided(chosen, decision, asked + 1));
		}

		private LimitedServer choose(List<LimitedServer> candidates, int asked) {
			List<LimitedServer> preferred = candidates.stream()
				.filter((server) -> asked < MAX_ASKED && PermitFleet.this.preferred.contains(server))
				.toList();
			List<LimitedServer> from = preferred.isEmpty() ? candidates : preferred;
			return from.get(PermitFleet.this.random.nextInt(from.size()));
		}

		private void decided(LimitedServer chosen, PermitDecision decision, int asked) {
			if (!decision.granted()) {
				forward(asked);
				return;
			}
			later(() -> send(chosen), TimeUnit.NANOSECONDS.toMillis(decision.delayNanos() + MILLI - 1));
		}

		private boolean opensWithin(LimitedServer server, long nanos) {
			if (PermitFleet.this.way == AdmissionWay.IGNORE || !limited(server)) {
				return true;
			}
			if (PermitFleet.this.way == AdmissionWay.PERMITS) {
				return this.permits.earliestNanos(hash(server)) <= nanos;
			}
			double share = ownShare(server);
			return share > 0 && nextOwn(server, share) <= nanos;
		}

		private double ownShare(LimitedServer server) {
			return switch (PermitFleet.this.way) {
				case EQUAL_SHARES -> 1.0 / PermitFleet.this.hosts.size();
				case FEW_HOSTS -> this.permits.ownedSlices(server.hash()) / (double) PermitIssuer.SLICES;
				default -> 1;
			};
		}

		private long nextOwn(LimitedServer server, double share) {
			long interval = PermitIssuer.intervalNanos(this.limits.perSecond(server.hash()).orElseThrow(), share);
			return this.ownSchedules
				.computeIfAbsent(server.hash(),
						(hash) -> new PermitSchedule(clock() - PermitFleet.this.random.nextLong(interval)))
				.nextNanos(clock(), interval) - clock();
		}

		private void takeOwn(LimitedServer server) {
			PermitSchedule schedule = this.ownSchedules.get(server.hash());
			this.limits.perSecond(server.hash())
				.ifPresent((limit) -> schedule.take(clock(), Long.MAX_VALUE / 4,
						PermitIssuer.intervalNanos(limit, ownShare(server))));
		}

		private void send(LimitedServer server) {
			long sentNanos = clock();
			int current = this.life;
			schedule(1 + PermitFleet.this.random.nextInt(15), () -> {
				boolean excused = nowMillis() - this.disturbedUntil < LimitedServer.STABLE_MILLIS;
				server.arrived(this.number, excused, nowMillis());
				PermitFleet.this.served++;
				schedule(50 + PermitFleet.this.random.nextInt(300),
						() -> onHost(current, () -> responseArrived(server, sentNanos)));
			});
		}

		private void responseArrived(LimitedServer server, long sentNanos) {
			this.limits.observe(hash(server), server.named(), sentNanos, clock());
			server.told(this.number, nowMillis());
		}

	}

}
