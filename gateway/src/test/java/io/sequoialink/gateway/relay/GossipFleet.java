package io.sequoialink.gateway.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.sequoialink.decision.observation.SharedServerNotices;

/**
 * Simulates hosts that gossip server notices, in simulated time with steps of a
 * millisecond and with faults. Confined to one thread.
 */
final class GossipFleet {

	static final int BYTES_PER_SECOND = 8000;

	private static final int HEADER_BYTES = 28;

	private final SplittableRandom random;

	private final List<Host> hosts = new ArrayList<>();

	private final Map<InetSocketAddress, Host> byAddress = new HashMap<>();

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();

	private final int bytesPerSecond;

	private double lossRate;

	private long sequence;

	private long nowMillis = 1_000_000;

	GossipFleet(int size, int zones, long seed) {
		this(size, zones, seed, BYTES_PER_SECOND);
	}

	GossipFleet(int size, int zones, long seed, int bytesPerSecond) {
		this.random = new SplittableRandom(seed);
		this.bytesPerSecond = bytesPerSecond;
		for (int i = 0; i < size; i++) {
			String name = String.format("h-%03d", i);
			this.hosts.add(new Host(new Peer(name, "zone-" + i % zones,
					new InetSocketAddress("10.0." + i / 250 + "." + (1 + i % 250), 1000))));
		}
		for (Host host : this.hosts) {
			this.byAddress.put(host.self.address(), host);
			this.hosts.forEach((other) -> host.peers.onPeer(other.self, 0));
		}
	}

	long nowNanos() {
		return this.nowMillis * 1_000_000L;
	}

	Host host(int number) {
		return this.hosts.get(number);
	}

	void loseDatagrams(double share) {
		this.lossRate = share;
	}

	/**
	 * Advances the simulated time.
	 * @param millis duration in milliseconds
	 * @param each called for each running host in each millisecond
	 */
	void run(long millis, Consumer<Host> each) {
		for (long end = this.nowMillis + millis; this.nowMillis < end; this.nowMillis++) {
			while (!this.deliveries.isEmpty() && this.deliveries.peek().atMillis() <= this.nowMillis) {
				this.deliveries.poll().work().run();
			}
			for (Host host : this.hosts) {
				if (!host.down) {
					each.accept(host);
					if (this.nowMillis >= host.nextRound) {
						host.nextRound = this.nowMillis + ServerNoticeGossip.ROUND_MILLIS;
						host.gossip.runRound();
					}
				}
			}
		}
	}

	/**
	 * Runs until all running hosts fulfil a condition.
	 * @return elapsed milliseconds, at most about 10,000
	 */
	long runUntilAllHosts(Predicate<Host> holds) {
		long start = this.nowMillis;
		while (this.nowMillis - start < 10_000
				&& !this.hosts.stream().allMatch((host) -> host.down || holds.test(host))) {
			run(10, (host) -> {
			});
		}
		return this.nowMillis - start;
	}

	long count(Predicate<Host> holds) {
		return this.hosts.stream().filter(holds).count();
	}

	long maxBytesSentByAHost() {
		return this.hosts.stream().mapToLong((host) -> host.bytesSent).max().orElse(0);
	}

	private record Delivery(long atMillis, long order, Runnable work) implements Comparable<Delivery> {
		@Override
		public int compareTo(Delivery other) {
			return (this.atMillis != other.atMillis) ? Long.compare(this.atMillis, other.atMillis)
					: Long.compare(this.order, other.order);
		}
	}

	/** One simulated host. */
	final class Host {

		private final Peer self;

		private final ReadForwarder peers;

		private final ServerNoticeGossip gossip;

		private final GossipBudget budget;

		private final SharedServerNotices notices;

		private boolean down;

		private long nextRound;

		private long bytesSent;

		private long timeOfDayOffset;

		private Host(Peer self) {
			this.self = self;
			this.notices = new SharedServerNotices();
			this.nextRound = GossipFleet.this.nowMillis
					+ GossipFleet.this.random.nextInt((int) ServerNoticeGossip.ROUND_MILLIS);
			this.peers = new ReadForwarder(self, this::send, (read) -> {
			}, 4_000_000_000L, GossipFleet.this::nowNanos);
			this.budget = new GossipBudget(GossipFleet.this.bytesPerSecond, GossipFleet.this::nowNanos);
			this.gossip = new ServerNoticeGossip(this.notices, this.peers, this::send, this.budget, Long::toHexString,
					GossipFleet.this::nowNanos, () -> GossipFleet.this.nowMillis + this.timeOfDayOffset,
					new SplittableRandom(GossipFleet.this.random.nextLong()));
		}

		SharedServerNotices notices() {
			return this.notices;
		}

		void advanceTimeOfDay(long millis) {
			this.timeOfDayOffset += millis;
		}

		void setMaxBytesPerSecond(int maxBytes) {
			this.budget.setMaxBytesPerSecond(maxBytes);
		}

		void setDown(boolean newDown) {
			this.down = newDown;
		}

		private void send(InetSocketAddress to, byte[] datagram) {
			this.bytesSent += datagram.length + HEADER_BYTES;
			if (GossipFleet.this.random.nextDouble() < GossipFleet.this.lossRate) {
				return;
			}
			Host receiver = GossipFleet.this.byAddress.get(to);
			GossipFleet.this.deliveries
				.add(new Delivery(GossipFleet.this.nowMillis + 1 + GossipFleet.this.random.nextInt(3),
						GossipFleet.this.sequence++, () -> {
							if (!receiver.down) {
								receiver.gossip.onDatagram(this.self.address().getAddress(), datagram);
							}
						}));
		}

	}

}
