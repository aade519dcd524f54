package io.sequoialink.gateway.permit;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.relay.Peer;

/**
 * Hosts before brittle servers in simulated time. Datagrams take a millisecond and are
 * lost at times; servers have slots, no queue, and fall over.
 */
final class SlotFleet {

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final double LOSS = 0.01;

	private static final long STABLE_MILLIS = 3000;

	private static final long DOWN_MILLIS = 3000;

	private static final int TRIES = 3;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final SplittableRandom random;

	private final List<Host> hosts = new ArrayList<>();

	private final List<Server> servers = new ArrayList<>();

	private final Map<InetSocketAddress, Host> byAddress = new HashMap<>();

	private final boolean asks;

	private final int workMillis;

	private long now = TimeUnit.HOURS.toNanos(1);

	private long lastEvent;

	private long brittleSince;

	private long datagramBytes;

	private int served;

	private int refused;

	private int falls;

	SlotFleet(boolean asks, int hostCount, int serverCount, int slots, int workMillis, long seed) {
		this.asks = asks;
		this.workMillis = workMillis;
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < serverCount; i++) {
			this.servers.add(new Server(new ServerEntry("i-" + i, "svc",
					new InetSocketAddress(InetAddress.getLoopbackAddress(), 1000 + i), "z", "v1", slots, false, 0, 5)));
		}
		List<Peer> peers = new ArrayList<>();
		for (int i = 0; i < hostCount; i++) {
			peers.add(new Peer("h" + i, "z", address(i)));
		}
		peers.forEach((peer) -> this.hosts.add(new Host(peer, peers)));
		this.hosts.forEach((host) -> this.byAddress.put(host.peer.address(), host));
	}

	private static InetSocketAddress address(int number) {
		try {
			return new InetSocketAddress(
					InetAddress.getByAddress(new byte[] { 10, 0, (byte) (number / 250), (byte) (1 + number % 250) }),
					7000);
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Lets requests arrive at random hosts, and counts from 3 s after the servers first
	 * said that they are brittle.
	 */
	void run(double requestsPerSecond, int rejections, long seconds) {
		this.brittleSince = this.now;
		this.servers.forEach((server) -> server.rejections = rejections);
		long until = this.now + TimeUnit.SECONDS.toNanos(seconds);
		arrive(requestsPerSecond);
		this.hosts.forEach((host) -> round(host));
		while (this.events.peek().at < until) {
			Event next = this.events.poll();
			this.now = next.at;
			next.task.run();
		}
	}

	private void round(Host host) {
		host.slots.runRound();
		after(FleetSlots.ROUND_MILLIS * MILLI, () -> round(host));
	}

	private void arrive(double perSecond) {
		after((long) (-Math.log(1 - this.random.nextDouble()) / perSecond * 1e9), () -> {
			this.hosts.get(this.random.nextInt(this.hosts.size())).request(0);
			arrive(perSecond);
		});
	}

	private void after(long nanos, Runnable task) {
		this.events.add(new Event(this.now + nanos, this.lastEvent++, task));
	}

	private boolean counts() {
		return this.now - this.brittleSince >= STABLE_MILLIS * MILLI;
	}

	int falls() {
		return this.falls;
	}

	int served() {
		return this.served;
	}

	int refused() {
		return this.refused;
	}

	int mostTurnedAwayInASecond() {
		return this.servers.stream().mapToInt((server) -> server.most).max().orElse(0);
	}

	double datagramBytesPerHostAndSecond(long seconds) {
		return (double) this.datagramBytes / this.hosts.size() / seconds;
	}

	/** Removes a host, which no longer answers. */
	void stop(int host) {
		this.byAddress.remove(this.hosts.get(host).peer.address());
		this.hosts.remove(host);
	}

	/** A host with its requests at each server. */
	private final class Host {

		private final Peer peer;

		private final FleetSlots slots;

		private final Map<String, Integer> inFlight = new HashMap<>();

		private Host(Peer peer, List<Peer> all) {
			this.peer = peer;
			List<Peer> others = all.stream().filter((other) -> !other.equals(peer)).toList();
			this.slots = new FleetSlots(peer, () -> others, RequestPermits.NONE,
					() -> SlotFleet.this.servers.stream().map((server) -> server.entry).toList(),
					ServerState::incarnation, (entry) -> this.inFlight.getOrDefault(entry.id(), 0), this::send,
					(task, millis) -> after(millis * MILLI, task), () -> SlotFleet.this.now);
		}

		private void send(InetSocketAddress to, byte[] datagram) {
			SlotFleet.this.datagramBytes += datagram.length;
			if (SlotFleet.this.random.nextDouble() < LOSS) {
				return;
			}
			after(MILLI, () -> {
				Host receiver = SlotFleet.this.byAddress.get(to);
				if (receiver != null) {
					receiver.slots.onDatagram(this.peer.address().getAddress(), datagram);
				}
			});
		}

		private void request(int tries) {
			Server server = SlotFleet.this.servers.get(SlotFleet.this.random.nextInt(SlotFleet.this.servers.size()));
			if (tries >= TRIES) {
				SlotFleet.this.refused++;
				return;
			}
			if (!SlotFleet.this.asks || !this.slots.limited(server.incarnation)) {
				attempt(server, tries);
				return;
			}
			this.slots.acquire(server.incarnation, 100 * MILLI, (decision) -> {
				if (decision.granted()) {
					attempt(server, tries);
				}
				else {
					request(tries + 1);
				}
			});
		}

		private void attempt(Server server, int tries) {
			long sentNanos = SlotFleet.this.now;
			this.inFlight.merge(server.entry.id(), 1, Integer::sum);
			after(MILLI, () -> server.arrived(this, sentNanos, tries));
		}

		private void ended(Server server, long sentNanos, boolean ran, int tries) {
			this.inFlight.merge(server.entry.id(), -1, Integer::sum);
			this.slots.heard(server.entry, OptionalDouble.of(server.rejections), sentNanos);
			if (!ran) {
				this.slots.turnedAway(server.incarnation);
			}
			this.slots.ended(server.incarnation);
			if (ran) {
				SlotFleet.this.served++;
			}
			else {
				request(tries + 1);
			}
		}

	}

	/** A server. */
	private final class Server {

		private final ServerEntry entry;

		private final long incarnation;

		private final Deque<Long> turnedAway = new ArrayDeque<>();

		private int rejections;

		private int running;

		private int most;

		private long downUntil;

		private Server(ServerEntry entry) {
			this.entry = entry;
			this.incarnation = ServerState.incarnation(entry);
		}

		private void arrived(Host host, long sentNanos, int tries) {
			boolean down = SlotFleet.this.now < this.downUntil;
			if (down || this.running >= this.entry.slots()) {
				if (!down && counts()) {
					countTurnedAway();
				}
				after(MILLI, () -> host.ended(this, sentNanos, false, tries));
				return;
			}
			this.running++;
			long work = (long) (SlotFleet.this.workMillis * (0.5 + SlotFleet.this.random.nextDouble()) * MILLI);
			after(work, () -> {
				this.running--;
				after(MILLI, () -> host.ended(this, sentNanos, true, tries));
			});
		}

		private void countTurnedAway() {
			this.turnedAway.addLast(SlotFleet.this.now);
			this.turnedAway.removeIf((at) -> SlotFleet.this.now - at > 1000 * MILLI);
			this.most = Math.max(this.most, this.turnedAway.size());
			if (this.turnedAway.size() > this.rejections) {
				this.turnedAway.clear();
				SlotFleet.this.falls++;
				this.downUntil = SlotFleet.this.now + DOWN_MILLIS * MILLI;
			}
		}

	}

	/** Something that happens at a time. Immutable. */
	private record Event(long at, long order, Runnable task) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.at != other.at) ? Long.compare(this.at, other.at) : Long.compare(this.order, other.order);
		}

	}

}
