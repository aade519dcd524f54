package io.sequoialink.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;

import io.sequoialink.membership.Member.State;
import io.sequoialink.model.HostId;

/**
 * Many cores in virtual time over a network with seeded delay and loss. Not thread-safe.
 */
final class VirtualFleet {

	private static final int FIRST_PORT = 10_000;

	private static final int TICK_MILLIS = 500;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<Integer, GossipCore> cores = new HashMap<>();

	private final Set<Integer> paused = new HashSet<>();

	private final Map<Integer, Long> bytes = new HashMap<>();

	private final Random random;

	private final double loss;

	private BiPredicate<Integer, Integer> cut = (from, to) -> false;

	private long now = 1000;

	private long order;

	private long incarnation = 1;

	VirtualFleet(long seed, double loss) {
		this.random = new Random(seed);
		this.loss = loss;
	}

	static VirtualFleet settled(long seed, int hosts) {
		VirtualFleet fleet = new VirtualFleet(seed, 0);
		for (int i = 0; i < hosts; i++) {
			fleet.start(i, "host-" + i);
		}
		fleet.run(20_000);
		return fleet;
	}

	void start(int place, String host) {
		Member self = new Member(new HostId(host), this.incarnation++, "127.0.0.1", FIRST_PORT + place,
				"zone-" + place % 4, State.ALIVE, 0);
		List<InetSocketAddress> seeds = List.of(new InetSocketAddress("127.0.0.1", FIRST_PORT),
				new InetSocketAddress("127.0.0.1", FIRST_PORT + 1));
		GossipCore core = new GossipCore(self, GossipSettings.DEFAULT, seeds, new Random(this.random.nextLong()),
				new GossipListener() {
				}, this.now);
		this.cores.put(place, core);
		schedule(this.random.nextInt(TICK_MILLIS), place, core, () -> tick(place, core));
	}

	GossipCore core(int place) {
		return this.cores.get(place);
	}

	void crash(int place) {
		this.cores.remove(place);
	}

	void pause(int place, long millis) {
		this.paused.add(place);
		this.events.add(new Event(this.now + millis, this.order++, () -> resume(place)));
	}

	void cut(BiPredicate<Integer, Integer> newCut) {
		this.cut = newCut;
	}

	void post(int from, List<Outgoing> messages) {
		messages.forEach((message) -> post(from, message));
	}

	void run(long millis) {
		long end = this.now + millis;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= end) {
			Event event = this.events.poll();
			this.now = Math.max(this.now, event.atMillis());
			event.action().run();
		}
		this.now = end;
	}

	long now() {
		return this.now;
	}

	long bytesOf(int place) {
		return this.bytes.getOrDefault(place, 0L);
	}

	State seen(int by, String host) {
		return core(by).members()
			.stream()
			.filter((member) -> member.host().value().equals(host))
			.map(Member::state)
			.findFirst()
			.orElse(State.DEAD);
	}

	boolean agreeOn(int hosts) {
		return this.cores.values()
			.stream()
			.allMatch((core) -> core.members().size() == hosts
					&& core.members().stream().allMatch((member) -> member.state() == State.ALIVE));
	}

	List<GossipCore> all() {
		return new ArrayList<>(this.cores.values());
	}

	private void tick(int place, GossipCore core) {
		post(place, core.tick(this.now));
		schedule(TICK_MILLIS, place, core, () -> tick(place, core));
	}

	private void post(int from, Outgoing message) {
		this.bytes.merge(from, (long) message.body().getSerializedSize(), Long::sum);
		int to = message.port() - FIRST_PORT;
		if (this.random.nextDouble() < this.loss || this.cut.test(from, to)) {
			return;
		}
		GossipCore target = this.cores.get(to);
		schedule(1 + this.random.nextInt(5), to, target, () -> deliver(to, target, message));
	}

	private void deliver(int to, GossipCore target, Outgoing message) {
		try {
			post(to, target.receive(message.body(), this.now));
		}
		catch (RefusedFrameException ex) {
			this.bytes.merge(to, 0L, Long::sum);
		}
	}

	private void schedule(long delay, int place, GossipCore core, Runnable action) {
		this.events.add(new Event(this.now + delay, this.order++, () -> {
			if (core != null && this.cores.get(place) == core) {
				runOrDefer(place, core, action);
			}
		}));
	}

	private void runOrDefer(int place, GossipCore core, Runnable action) {
		if (this.paused.contains(place)) {
			schedule(TICK_MILLIS, place, core, action);
		}
		else {
			action.run();
		}
	}

	private void resume(int place) {
		this.paused.remove(place);
	}

	private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atMillis, other.atMillis);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

}
