package io.sequoialink.gateway.crash;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.sequoialink.decision.crash.Involvement;
import io.sequoialink.decision.crash.TraitVerdict;
import io.sequoialink.gateway.feed.StoreReply;
import io.sequoialink.gateway.relay.GossipBudget;
import io.sequoialink.gateway.relay.Peer;

/**
 * Simulated fleet of hosts before servers that crash when they begin a response to a
 * request with certain traits, in virtual time and without sockets. Not thread-safe.
 *
 * <p>
 * Counts what the users' definition forbids: requests with a crashing trait that reach
 * servers later than {@link #STABLE_MILLIS} after its fifth crash.
 */
final class TraitFleet {

	static final long STABLE_MILLIS = 3000;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final int CRASHES_BEFORE_BOUND = 5;

	private static final long LINK_MILLIS = 1;

	private static final long HEAD_MILLIS = 150;

	private static final long BEGIN_MILLIS = 250;

	private static final long DOWN_MILLIS = 3000;

	private static final int MAX_SENDS = 3;

	private static final int MAX_WAITS = 10;

	private static final long WAIT_MILLIS = 100;

	private final Random random;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number));

	private final List<Host> hosts = new ArrayList<>();

	private final List<Server> servers = new ArrayList<>();

	private final Set<Long> crashing = new HashSet<>();

	private final List<Long> crashTimes = new ArrayList<>();

	private final List<Long> arrivals = new ArrayList<>();

	private final List<CulpritRecord> stored = new ArrayList<>();

	private final List<String> storeCalls = new ArrayList<>();

	private double lossShare;

	private long nowMillis = 1000;

	private long tasksCreated;

	private long lastIncarnation;

	private final List<Request> harmless = new ArrayList<>();

	TraitFleet(long seed, int hostCount, int serverCount) throws UnknownHostException {
		this.random = new Random(seed);
		for (int i = 0; i < hostCount; i++) {
			this.hosts.add(new Host(i, seed));
		}
		for (int i = 0; i < serverCount; i++) {
			this.servers.add(new Server());
		}
	}

	void setLossShare(double share) {
		this.lossShare = share;
	}

	void addCrashingTrait(long trait) {
		this.crashing.add(trait);
	}

	Host host(int number) {
		return this.hosts.get(number);
	}

	int crashes() {
		return this.crashTimes.size();
	}

	/** Returns the writes and deletions of culprits in their order. */
	List<String> storeCalls() {
		return this.storeCalls;
	}

	List<CulpritRecord> stored() {
		return this.stored;
	}

	/** Returns how many requests reached servers although the bound forbids it. */
	int forbiddenArrivals() {
		if (this.crashTimes.size() < CRASHES_BEFORE_BOUND) {
			return 0;
		}
		long from = this.crashTimes.get(CRASHES_BEFORE_BOUND - 1) + STABLE_MILLIS;
		return (int) this.arrivals.stream().filter((at) -> at > from).count();
	}

	/**
	 * Returns the share of the harmless requests that were served, of those sent later
	 * than twice {@link #STABLE_MILLIS} after the fifth crash, or the last if there are
	 * fewer; of all if there is none.
	 */
	double harmlessServedShare() {
		long from = this.crashTimes.isEmpty() ? 0
				: this.crashTimes.get(Math.min(CRASHES_BEFORE_BOUND, this.crashTimes.size()) - 1) + 2 * STABLE_MILLIS;
		List<Request> counted = this.harmless.stream().filter((request) -> request.sentMillis > from).toList();
		return counted.stream().filter((request) -> request.served).count() / (double) counted.size();
	}

	/** Returns the most bytes that any host has sent, packet headers included. */
	long mostBytesSent() {
		return this.hosts.stream().mapToLong((host) -> host.budget.bytesSent()).max().orElse(0);
	}

	/** Sends requests with the traits that a source draws, at a rate, for a time. */
	void sendPoisson(double perSecond, long forMillis, Supplier<Set<Long>> traits) {
		long at = 0;
		while (true) {
			at += Math.max(1, Math.round(-Math.log(1 - this.random.nextDouble()) * 1000 / perSecond));
			if (at > forMillis) {
				return;
			}
			schedule(at,
					() -> new Request(this.hosts.get(this.random.nextInt(this.hosts.size())), traits.get()).send());
		}
	}

	/** Crashes a share of the servers for a reason of their own. */
	void crashServers(double share) {
		List<Server> all = new ArrayList<>(this.servers);
		all.subList(0, (int) Math.ceil(share * all.size())).forEach(Server::crash);
	}

	void run(long millis) {
		long until = this.nowMillis + millis;
		while (!this.tasks.isEmpty() && this.tasks.peek().atMillis() <= until) {
			Task task = this.tasks.poll();
			this.nowMillis = task.atMillis();
			task.work().run();
		}
		this.nowMillis = until;
	}

	long nanos() {
		return this.nowMillis * NANOS_PER_MILLI;
	}

	private void schedule(long inMillis, Runnable work) {
		this.tasks.add(new Task(this.nowMillis + inMillis, this.tasksCreated++, work));
	}

	private record Task(long atMillis, long number, Runnable work) {
	}

	/** A server, in one incarnation after the other. */
	private final class Server {

		private long incarnation = ++TraitFleet.this.lastIncarnation;

		private boolean up = true;

		private final List<Attempt> attempts = new ArrayList<>();

		void crash() {
			if (!this.up) {
				return;
			}
			this.up = false;
			List<Attempt> lost = List.copyOf(this.attempts);
			this.attempts.clear();
			lost.forEach((attempt) -> schedule(LINK_MILLIS, attempt::lost));
			schedule(DOWN_MILLIS, () -> {
				this.incarnation = ++TraitFleet.this.lastIncarnation;
				this.up = true;
			});
		}

	}

	/** One transmission to a server. */
	private final class Attempt {

		private final Request request;

		private final Server server;

		private final long incarnation;

		private final long sentNanos = nanos();

		private boolean head;

		private boolean ended;

		private Runnable endWatch;

		Attempt(Request request, Server server) {
			this.request = request;
			this.server = server;
			this.incarnation = server.incarnation;
			server.attempts.add(this);
			this.endWatch = request.host.coordinator.watch(request.traits, this::withdraw);
			long delay = TraitFleet.this.random.nextInt(300);
			schedule(HEAD_MILLIS + delay, () -> this.head = true);
			schedule(BEGIN_MILLIS + delay, this::begin);
		}

		private void withdraw() {
			this.ended = true;
			this.server.attempts.remove(this);
		}

		private void begin() {
			if (this.ended) {
				return;
			}
			if (this.request.crashesServers()) {
				TraitFleet.this.crashTimes.add(TraitFleet.this.nowMillis);
				this.server.crash();
				return;
			}
			this.ended = true;
			this.server.attempts.remove(this);
			this.endWatch.run();
			this.request.host.coordinator.responseBegan(this.request.traits);
			this.request.served();
		}

		private void lost() {
			if (this.ended) {
				return;
			}
			this.ended = true;
			this.endWatch.run();
			this.request.host.coordinator.serverCrashed(this.incarnation, this.request.traits,
					new Involvement(this.sentNanos, this.head), nanos());
			schedule(LINK_MILLIS, this.request::send);
		}

	}

	/** A client's request. */
	private final class Request {

		private final Host host;

		private final Set<Long> traits;

		private final long sentMillis = TraitFleet.this.nowMillis;

		private boolean served;

		private int sends;

		private int waits;

		Request(Host host, Set<Long> traits) {
			this.host = host;
			this.traits = traits;
			if (!crashesServers()) {
				TraitFleet.this.harmless.add(this);
			}
		}

		boolean crashesServers() {
			return this.traits.stream().anyMatch(TraitFleet.this.crashing::contains);
		}

		void served() {
			this.served = true;
		}

		void send() {
			TraitVerdict verdict = this.host.coordinator.verdict(this.traits);
			if (verdict.kind() == TraitVerdict.Kind.HELD && this.waits < MAX_WAITS) {
				this.waits++;
				schedule(WAIT_MILLIS, this::send);
				return;
			}
			List<Server> up = TraitFleet.this.servers.stream().filter((server) -> server.up).toList();
			boolean refused = verdict.kind() == TraitVerdict.Kind.HELD || verdict.kind() == TraitVerdict.Kind.BLOCKED;
			if (refused || this.sends == MAX_SENDS || up.isEmpty()) {
				return;
			}
			this.sends++;
			if (verdict.kind() == TraitVerdict.Kind.TRIAL) {
				this.host.coordinator.trialStarted("q", verdict);
			}
			if (crashesServers()) {
				TraitFleet.this.arrivals.add(TraitFleet.this.nowMillis);
			}
			new Attempt(this, up.get(TraitFleet.this.random.nextInt(up.size())));
		}

	}

	/** Store that keeps what hosts write. */
	private final class RecordingStore implements CulpritStore {

		@Override
		public void write(CulpritRecord culprit, Consumer<StoreReply<Long>> reply) {
			TraitFleet.this.storeCalls.add("write " + new TreeSet<>(culprit.traits()));
			TraitFleet.this.stored.add(culprit);
			reply.accept(StoreReply.of(1L));
		}

		@Override
		public void delete(Set<Long> traits) {
			TraitFleet.this.storeCalls.add("delete " + new TreeSet<>(traits));
			TraitFleet.this.stored.removeIf((culprit) -> culprit.traits().equals(traits));
		}

	}

	/** A host. A host that is cut off sends and receives no datagrams. */
	final class Host {

		private final Peer self;

		private final GossipBudget budget;

		private final TraitCoordinator coordinator;

		private boolean cutOff;

		Host(int number, long seed) throws UnknownHostException {
			InetAddress address = InetAddress
				.getByAddress(new byte[] { 127, 1, (byte) (number / 200), (byte) (1 + number % 200) });
			this.self = new Peer("h" + number, "z" + number % 4, new InetSocketAddress(address, 7000));
			this.budget = new GossipBudget(8000, TraitFleet.this::nanos);
			SplittableRandom draws = new SplittableRandom(seed * 1000 + number);
			TraitGossip gossip = new TraitGossip(this.self, this::others, () -> drawn(draws), this.budget, this::send,
					TraitFleet.this::nanos, () -> TraitFleet.this.nowMillis);
			this.coordinator = new TraitCoordinator(gossip, new RecordingStore(),
					(work, millis) -> schedule(millis, work), TraitFleet.this::nanos, draws, Long::toHexString);
			schedule(draws.nextInt(100), this::round);
		}

		TraitCoordinator coordinator() {
			return this.coordinator;
		}

		void setCutOff(boolean cut) {
			this.cutOff = cut;
		}

		private void round() {
			this.coordinator.runRound();
			this.coordinator.tick();
			schedule(TraitGossip.ROUND_MILLIS, this::round);
		}

		private List<Peer> others() {
			return TraitFleet.this.hosts.stream().filter((host) -> host != this).map((host) -> host.self).toList();
		}

		private Set<Peer> drawn(SplittableRandom draws) {
			Set<Peer> drawn = new HashSet<>();
			List<Peer> others = others();
			for (int i = 0; i < 3 && !others.isEmpty(); i++) {
				drawn.add(others.get(draws.nextInt(others.size())));
			}
			return drawn;
		}

		private void send(InetSocketAddress to, byte[] datagram) {
			if (this.cutOff || TraitFleet.this.random.nextDouble() < TraitFleet.this.lossShare) {
				return;
			}
			Host receiver = TraitFleet.this.hosts.stream()
				.filter((host) -> host.self.address().equals(to))
				.findAny()
				.orElseThrow();
			schedule(LINK_MILLIS, () -> {
				if (!receiver.cutOff) {
					receiver.coordinator.onDatagram(this.self.address().getAddress(), datagram);
				}
			});
		}

	}

}
