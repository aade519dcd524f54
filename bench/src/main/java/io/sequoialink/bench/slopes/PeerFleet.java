package io.sequoialink.bench.slopes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.sequoialink.daemon.host.HostBills;
import io.sequoialink.ledger.bills.LogBillJournal;
import io.sequoialink.membership.GossipPeers;
import io.sequoialink.membership.Member;
import io.sequoialink.membership.PeerKeys;
import io.sequoialink.membership.PeerTraffic;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.Bill;
import io.sequoialink.model.Brake;
import io.sequoialink.model.HostId;
import io.sequoialink.model.RequestId;

/**
 * The peer ports and bill journals of many hosts over loopback sockets, with one duty
 * loaded at a time. Confined to one thread.
 */
final class PeerFleet implements AutoCloseable {

	/** Requests a second and host at the expected size, rounded. */
	static final int BILLS_A_SECOND = 13;

	private static final double BILL_WEIGHT = 4400 / 330.0 / BILLS_A_SECOND;

	private static final double BRAKES_A_SECOND = 1 / 60.0;

	private static final String LOOP_THREADS = "slopes-loop";

	private static final String BILL_THREADS = "slopes-bills";

	private static final int THREADS = 2;

	private static final int ZONES = 8;

	private static final long START_SECONDS = 30;

	private static final long SETTLE_MILLIS = 5000;

	private final EventLoopGroup loops = new NioEventLoopGroup(THREADS, new DefaultThreadFactory(LOOP_THREADS, true));

	private final ScheduledExecutorService billThreads = new ScheduledThreadPoolExecutor(THREADS,
			new DefaultThreadFactory(BILL_THREADS, true));

	private final List<GossipPeers> hosts = new ArrayList<>();

	private final List<LogBillJournal> journals = new ArrayList<>();

	private final CountingStream stream = new CountingStream();

	private final long windowMillis;

	private final long heapBefore = ThreadTimes.retainedBytes();

	private int number;

	PeerFleet(int count, long seed, long windowMillis) throws IOException, InterruptedException {
		this.windowMillis = windowMillis;
		PeerKeys keys = PeerKeys.builder().accept("bench", new byte[PeerKeys.MIN_KEY_BYTES]).build();
		List<InetSocketAddress> seeds = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			Member self = new Member(new HostId("host-" + i), 1_700_000_000_000L + i, "127.0.0.1", 0,
					"zone-" + i % ZONES, Member.State.ALIVE, 0);
			GossipPeers peers = GossipPeers.builder()
				.self(self)
				.keys(keys)
				.seeds(seeds)
				.random(new Random(seed + i))
				.eventLoops(this.loops)
				.start();
			this.hosts.add(peers);
			if (seeds.isEmpty()) {
				seeds.add(new InetSocketAddress("127.0.0.1", peers.self().port()));
			}
		}
		awaitMembers();
		startBills();
		Thread.sleep(SETTLE_MILLIS);
	}

	/**
	 * Measures each duty alone.
	 * @return the costs; those of loaded duties are above those of the idle fleet
	 * @throws InterruptedException if interrupted
	 */
	List<Duty> measure() throws InterruptedException {
		Sample idle = sample(0, () -> {
		});
		Sample brakes = sample(1, this::spreadBrake);
		Sample revisions = sample(1, this::announceRevision);
		Sample bills = sample(BILLS_A_SECOND, this::recordBills);
		List<Duty> duties = new ArrayList<>();
		duties.add(duty("membership", PeerTraffic.MEMBERSHIP, idle, null, 1));
		duties.add(duty("brakes, 1 new a second", PeerTraffic.BRAKES, brakes, idle, BRAKES_A_SECOND));
		duties.add(duty("revisions, 1 new a second", PeerTraffic.REVISIONS, revisions, idle, 1));
		duties.add(duty("copies of bills, " + BILLS_A_SECOND + " a second and host", HostBills.TOPIC, bills, idle,
				BILL_WEIGHT));
		int count = this.hosts.size();
		duties.add(new Duty("appends of bills", count, bills.appendedBytes / count, bills.appends / count, 0,
				BILL_WEIGHT));
		return duties;
	}

	/**
	 * Measures bills alone at one rate.
	 * @param rate bills a second and host
	 * @return what the copies cost a host
	 * @throws InterruptedException if interrupted
	 */
	Duty bills(int rate) throws InterruptedException {
		Sample sample = sample(rate, this::recordBills);
		return duty("copies of bills, a bill a second and host", HostBills.TOPIC, sample, null, 1);
	}

	double retainedBytesPerHost() {
		return (ThreadTimes.retainedBytes() - this.heapBefore) / (double) this.hosts.size();
	}

	private Duty duty(String name, String topic, Sample sample, Sample idle, double weight) {
		double share = (idle != null) ? Math.max(0, sample.coreShare - idle.coreShare) : sample.coreShare;
		return new Duty(name, this.hosts.size(), sample.bytes.getOrDefault(topic, 0.0),
				sample.messages.getOrDefault(topic, 0.0), share, weight);
	}

	private void spreadBrake() {
		this.number++;
		HostId origin = this.hosts.get(0).self().host();
		this.hosts.get(this.number % this.hosts.size())
			.spread(new Brake(Brake.Scope.FINGERPRINT, "f" + this.number, "crashed two servers", origin, 1,
					this.number));
	}

	private void announceRevision() {
		this.number++;
		this.hosts.forEach((host) -> host.announceRevision(this.number));
	}

	private void recordBills() {
		this.number++;
		for (int i = 0; i < this.journals.size(); i++) {
			RequestId request = new RequestId("host-" + i + ".m8x1k2a." + this.number);
			this.journals.get(i)
				.record(new Bill(request, new AccountId("account-1"), "captions-large-v12", 1234, 56_789,
						System.currentTimeMillis()), Duration.ZERO);
		}
	}

	private Sample sample(int turnsPerSecond, Runnable turn) throws InterruptedException {
		Totals before = totals();
		long turns = this.windowMillis * turnsPerSecond / 1000;
		for (int i = 0; i < turns; i++) {
			turn.run();
			Thread.sleep(1000 / turnsPerSecond);
		}
		long spent = System.nanoTime() - before.atNanos;
		Thread.sleep(Math.max(0, this.windowMillis - TimeUnit.NANOSECONDS.toMillis(spent)));
		return totals().minus(before, this.hosts.size());
	}

	private Totals totals() {
		Totals totals = new Totals();
		for (GossipPeers host : this.hosts) {
			PeerTraffic traffic = host.traffic();
			traffic.bytesSent().forEach((topic, bytes) -> totals.bytes.merge(topic, bytes, Long::sum));
			traffic.messagesSent().forEach((topic, count) -> totals.messages.merge(topic, count, Long::sum));
		}
		totals.cpuNanos = ThreadTimes.nanos((name) -> name.startsWith("slopes-"));
		totals.appends = this.stream.appends();
		totals.appendedBytes = this.stream.bytes();
		totals.atNanos = System.nanoTime();
		return totals;
	}

	private void awaitMembers() throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
		while (this.hosts.stream().anyMatch((host) -> host.members().size() < this.hosts.size())
				&& System.nanoTime() < end) {
			Thread.sleep(100);
		}
	}

	private void startBills() {
		for (GossipPeers host : this.hosts) {
			LogBillJournal journal = new HostBills(host, this.stream).journal();
			journal.start(this.billThreads);
			this.journals.add(journal);
		}
	}

	@Override
	public void close() {
		this.billThreads.shutdownNow();
		this.hosts.forEach(GossipPeers::close);
		this.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/** Counters at one time. */
	private static final class Totals {

		private final Map<String, Long> bytes = new HashMap<>();

		private final Map<String, Long> messages = new HashMap<>();

		private long cpuNanos;

		private long appends;

		private long appendedBytes;

		private long atNanos;

		private Sample minus(Totals before, int hosts) {
			double nanos = this.atNanos - before.atNanos;
			double seconds = nanos / TimeUnit.SECONDS.toNanos(1);
			Map<String, Double> byteRates = new HashMap<>();
			this.bytes.forEach((topic, count) -> byteRates.put(topic,
					(count - before.bytes.getOrDefault(topic, 0L)) / seconds / hosts));
			Map<String, Double> messageRates = new HashMap<>();
			this.messages.forEach((topic, count) -> messageRates.put(topic,
					(count - before.messages.getOrDefault(topic, 0L)) / seconds / hosts));
			return new Sample(byteRates, messageRates, (this.cpuNanos - before.cpuNanos) / nanos / hosts,
					(this.appends - before.appends) / seconds, (this.appendedBytes - before.appendedBytes) / seconds);
		}

	}

	/**
	 * Rates over a window; bytes, messages and processor time are a host's.
	 *
	 * @param bytes bytes a second by duty
	 * @param messages messages a second by duty
	 * @param coreShare share of a core
	 * @param appends appends a second of the fleet
	 * @param appendedBytes appended bytes a second of the fleet
	 */
	private record Sample(Map<String, Double> bytes, Map<String, Double> messages, double coreShare, double appends,
			double appendedBytes) {
	}

}
