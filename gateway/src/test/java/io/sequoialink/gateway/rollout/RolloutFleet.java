package io.sequoialink.gateway.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;

import io.sequoialink.gateway.feed.StoreFailure;
import io.sequoialink.gateway.feed.StoreReply;
import io.sequoialink.gateway.fleet.Found;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.RolloutState;
import io.sequoialink.gateway.fleet.RolloutStatus;

/**
 * Hosts that carry out a roll-out over one shared log, in simulated time and without
 * sockets. Hosts can be cut off from the log and killed.
 */
final class RolloutFleet {

	static final long STEP = 50_000_000L;

	private static final long ORDER = 7;

	/** Requests of a session that are further apart do not belong together. */
	private static final long SESSION_NANOS = 5_000_000_000L;

	private final Random random;

	private final List<Object> log = new ArrayList<>();

	private final List<Long> writtenAt = new ArrayList<>();

	private final List<Host> hosts = new ArrayList<>();

	private final double badShare;

	private final double requestsPerStep;

	private long now = 1_000_000_000L;

	private final Map<Integer, String> sessionVersions = new HashMap<>();

	private long halfAt;

	private final Map<Integer, Long> sessionLast = new HashMap<>();

	private long exposed;

	private long requests;

	private int movedBack;

	private int movedEarly;

	private int stepsBetweenReads = 1;

	private int conflicts;

	private long lastingNanos;

	private int sessions = 200;

	private double hopping;

	private double permittedShare = 0.15;

	private final Deque<Ending> endings = new ArrayDeque<>();

	private final Deque<Arrival> arrivals = new ArrayDeque<>();

	private long writingNanos;

	RolloutFleet(long seed, int size, double badShare, double requestsPerSecond) {
		this.random = new Random(seed);
		this.badShare = badShare;
		this.requestsPerStep = requestsPerSecond * STEP / 1e9;
		for (int i = 0; i < size; i++) {
			this.hosts.add(new Host(i));
		}
	}

	/**
	 * Lets hosts pause between two reads of the log.
	 */
	RolloutFleet readingEvery(long millis) {
		this.stepsBetweenReads = (int) (millis * 1_000_000L / STEP);
		return this;
	}

	/**
	 * Lets each write reach the log a while after a host sends it.
	 */
	RolloutFleet writingTakes(long millis) {
		this.writingNanos = millis * 1_000_000L;
		return this;
	}

	/**
	 * Lets each request last for a while.
	 */
	RolloutFleet lasting(long millis) {
		this.lastingNanos = millis * 1_000_000L;
		return this;
	}

	/**
	 * Lets there be more sessions, some of whose requests come to any host.
	 */
	RolloutFleet hopping(int count, double share) {
		this.sessions = count;
		this.hopping = share;
		return this;
	}

	/**
	 * Permits another share of the requests to a bad version than 0.15.
	 */
	RolloutFleet permitting(double share) {
		this.permittedShare = share;
		return this;
	}

	int conflicts() {
		return this.conflicts;
	}

	void order(long durationMillis) {
		this.halfAt = this.now + durationMillis * 500_000L;
		for (Host host : this.hosts) {
			host.start(durationMillis);
		}
	}

	/**
	 * Starts the hosts without an order, so that sessions begin before it.
	 */
	void prepare(long millis) {
		for (Host host : this.hosts) {
			host.prepare();
		}
		run(millis);
	}

	void run(long millis) {
		for (long step = 0; step < millis * 1_000_000L / STEP; step++) {
			this.now += STEP;
			arrivalsDue();
			for (Host host : this.hosts) {
				host.step();
			}
			this.endingsDue();
			this.requestsDue();
		}
	}

	private void arrivalsDue() {
		while (!this.arrivals.isEmpty() && this.arrivals.peekFirst().at() <= this.now) {
			this.arrivals.pollFirst().write().run();
		}
	}

	private void endingsDue() {
		while (!this.endings.isEmpty() && this.endings.peekFirst().at() <= this.now) {
			Ending ending = this.endings.pollFirst();
			ending.host().watch.active(ending.version(), ending.key());
		}
	}

	private void requestsDue() {
		double due = this.requestsPerStep;
		while (due > this.random.nextDouble()) {
			due--;
			int session = this.random.nextInt(this.sessions);
			boolean hops = this.hopping > 0 && this.random.nextDouble() < this.hopping;
			int home = hops ? this.random.nextInt(this.hosts.size()) : session % this.hosts.size();
			Host host = this.hosts.get(home);
			if (host.alive) {
				request(host, session);
			}
		}
	}

	private void request(Host host, int session) {
		long key = session * 0x9E3779B97F4A7C15L + 12345;
		VersionGroup group = host.watch.choose("s", key, true);
		boolean target = group == VersionGroup.TARGET;
		String version = target ? "v2" : "v1";
		String before = this.sessionVersions.put(session, version);
		Long last = this.sessionLast.put(session, this.now + this.lastingNanos);
		this.endings.addLast(new Ending(this.now + this.lastingNanos, host, version, key));
		if (last != null && this.now - last < SESSION_NANOS) {
			countMoves(before, version);
		}
		host.watch.sent("s", version, key);
		this.requests++;
		this.exposed += target ? 1 : 0;
		boolean bad = this.random.nextDouble() < (target ? this.badShare : 0.004);
		host.watch.answered("s", version, "r", bad, true);
	}

	private void countMoves(String before, String version) {
		if ("v2".equals(before) && version.equals("v1")) {
			this.movedBack++;
		}
		if ("v1".equals(before) && version.equals("v2") && this.now < this.halfAt) {
			this.movedEarly++;
		}
	}

	List<RolloutState> states() {
		return this.log.stream()
			.filter(RolloutStatus.class::isInstance)
			.map((entry) -> ((RolloutStatus) entry).state())
			.toList();
	}

	long writes() {
		return this.log.size();
	}

	long exposed() {
		return this.exposed;
	}

	long requests() {
		return this.requests;
	}

	int movedBack() {
		return this.movedBack;
	}

	int movedEarly() {
		return this.movedEarly;
	}

	Host host(int index) {
		return this.hosts.get(index);
	}

	/** A write that reaches the log. */
	private record Arrival(long at, Runnable write) {
	}

	/** The end of a request. */
	private record Ending(long at, Host host, String version, long key) {
	}

	/**
	 * One host.
	 */
	final class Host implements RolloutRecords {

		private final int index;

		private RolloutWatch watch;

		private int read;

		private boolean reachesLog = true;

		private boolean alive = true;

		private long durationMillis;

		private int stepsToRead;

		private final Deque<Runnable> replies = new ArrayDeque<>();

		private Host(int index) {
			this.index = index;
		}

		private void prepare() {
			this.watch = new RolloutWatch("h" + this.index,
					new RolloutWatch.Options(RolloutFleet.this.permittedShare, SESSION_NANOS), this,
					() -> RolloutFleet.this.now, new Random(this.index));
		}

		private void start(long millis) {
			this.durationMillis = millis;
			if (this.watch == null) {
				prepare();
			}
			this.watch.order(new Found<>(new RolloutOrder("s", "v2", millis), ORDER));
		}

		void cut(boolean off) {
			this.reachesLog = !off;
		}

		void kill() {
			this.alive = false;
		}

		void restart() {
			this.alive = true;
			this.read = 0;
			this.watch = null;
			start(this.durationMillis);
		}

		private void step() {
			if (!this.alive) {
				return;
			}
			while (!this.replies.isEmpty()) {
				this.replies.pollFirst().run();
			}
			this.stepsToRead--;
			if (this.reachesLog && this.stepsToRead <= 0) {
				this.stepsToRead = RolloutFleet.this.stepsBetweenReads;
				readLog();
			}
			this.watch.tick();
		}

		private void readLog() {
			while (this.read < RolloutFleet.this.log.size()) {
				Object entry = RolloutFleet.this.log.get(this.read);
				if (entry instanceof RolloutStatus status) {
					this.watch.status(new Found<>(aged(status, this.read), this.read));
				}
				else {
					this.watch.evidence((HostEvidence) entry);
				}
				this.read++;
			}
			this.watch.read(this.read);
		}

		// The age grows with the time since the record was written, as with a time of
		// day.
		private RolloutStatus aged(RolloutStatus status, int offset) {
			long since = (RolloutFleet.this.now - RolloutFleet.this.writtenAt.get(offset)) / 1_000_000L;
			return new RolloutStatus(status.service(), status.target(), status.state(), status.order(),
					status.ageMillis() + since);
		}

		@Override
		public void status(RolloutStatus status, OptionalLong at, Consumer<StoreReply<Long>> reply) {
			send(() -> append(status, at, reply));
		}

		@Override
		public void evidence(HostEvidence evidence, Consumer<StoreReply<Long>> reply) {
			send(() -> append(evidence, OptionalLong.empty(), reply));
		}

		@Override
		public void readNow() {
			this.stepsToRead = 0;
		}

		private void send(Runnable write) {
			if (RolloutFleet.this.writingNanos == 0) {
				write.run();
				return;
			}
			RolloutFleet.this.arrivals.addLast(new Arrival(now() + RolloutFleet.this.writingNanos, write));
		}

		private long now() {
			return RolloutFleet.this.now;
		}

		private void append(Object entry, OptionalLong at, Consumer<StoreReply<Long>> reply) {
			List<Object> log = RolloutFleet.this.log;
			if (!this.reachesLog) {
				answer(reply, StoreReply.failed(new StoreFailure(StoreFailure.Kind.UNKNOWN, "cut off")));
			}
			else if (at.isPresent() && at.getAsLong() != log.size()) {
				RolloutFleet.this.conflicts++;
				answer(reply, StoreReply.failed(new StoreFailure(StoreFailure.Kind.CONFLICT, "moved on")));
			}
			else {
				log.add(entry);
				RolloutFleet.this.writtenAt.add(RolloutFleet.this.now);
				answer(reply, StoreReply.of(log.size() - 1L));
			}
		}

		private void answer(Consumer<StoreReply<Long>> reply, StoreReply<Long> answer) {
			this.replies.addLast(() -> reply.accept(answer));
		}

	}

}
