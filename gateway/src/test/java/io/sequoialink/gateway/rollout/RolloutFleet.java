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
import io.sequoialink.gateway.fleet.PositionedValue;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.RolloutState;
import io.sequoialink.gateway.fleet.RolloutStatus;

/**
 * Simulates hosts that carry out a roll-out over one shared log, in simulated time and
 * without sockets. Hosts can be disconnected from the log and killed.
 */
final class RolloutFleet {

	static final long STEP = 50_000_000L;

	private static final long ORDER_OFFSET = 7;

	/** Share of the plain requests on the route of which any version fails many. */
	private static final double OFTEN_FAILING_ROUTE_SHARE = 0.28;

	/** Number of requests that a bad version may receive on top of the share. */
	private static final double PERMITTED_SLACK = 30;

	private static final double OFTEN_FAILING_SHARE = 0.14;

	private static final double SELDOM_FAILING_SHARE = 0.004;

	/** Maximum time between two requests of a session, in nanoseconds. */
	private static final long SESSION_NANOS = 5_000_000_000L;

	private final Random random;

	private final List<Object> log = new ArrayList<>();

	private final List<Long> writtenAt = new ArrayList<>();

	private final List<Host> hosts = new ArrayList<>();

	private final double badShare;

	private final double requestsPerStep;

	private long now = 1_000_000_000L;

	private final Map<Integer, String> sessionVersions = new HashMap<>();

	private long halfTimeNanos;

	private final Map<Integer, Long> sessionLastEnd = new HashMap<>();

	private long targetRequests;

	private long requests;

	private int movedBackSessions;

	private int movedEarlySessions;

	private int stepsBetweenReads = 1;

	private int conflicts;

	private long requestDurationNanos;

	private int sessions = 200;

	private double otherHostShare;

	private double permittedShare = 0.15;

	private final Deque<RequestEnd> requestEnds = new ArrayDeque<>();

	private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();

	private long writeDelayNanos;

	private LoadedServers targetServers;

	private long nextArrival;

	RolloutFleet(long seed, int size, double badShare, double requestsPerSecond) {
		this.random = new Random(seed);
		this.badShare = badShare;
		this.requestsPerStep = requestsPerSecond * STEP / 1e9;
		for (int i = 0; i < size; i++) {
			this.hosts.add(new Host(i));
		}
	}

	/** Sets the time between two reads of the log by a host; the default is one step. */
	RolloutFleet readInterval(long millis) {
		this.stepsBetweenReads = (int) (millis * 1_000_000L / STEP);
		return this;
	}

	/** Sets the time from sending a write until the log applies it; the default is 0. */
	RolloutFleet writeDelay(long millis) {
		this.writeDelayNanos = millis * 1_000_000L;
		return this;
	}

	/** Sets the duration of each request; the default is 0. */
	RolloutFleet requestDuration(long millis) {
		this.requestDurationNanos = millis * 1_000_000L;
		return this;
	}

	/**
	 * Sets the number of sessions, and the share of requests that go to a random host
	 * instead of the session's usual one.
	 */
	RolloutFleet sessionsOnAnyHost(int count, double share) {
		this.sessions = count;
		this.otherHostShare = share;
		return this;
	}

	/**
	 * Sets the permitted share of the requests for a bad version; the default is 0.15.
	 */
	RolloutFleet permittedShare(double share) {
		this.permittedShare = share;
		return this;
	}

	/**
	 * Makes all requests plain ones without sessions, of two routes as on the users'
	 * deployments, and the target's servers fail half of those that arrive while another
	 * one is running.
	 * @param servers number of servers of the target version
	 * @param workMillis duration of a request at its server
	 * @param failsUnderLoad whether the servers fail; otherwise only as the old ones do
	 */
	RolloutFleet plainRequests(int servers, long workMillis, boolean failsUnderLoad) {
		this.targetServers = new LoadedServers(servers, workMillis * 1_000_000L, failsUnderLoad);
		return this;
	}

	int conflicts() {
		return this.conflicts;
	}

	void order(long durationMillis) {
		this.halfTimeNanos = this.now + durationMillis * 500_000L;
		for (Host host : this.hosts) {
			host.start(durationMillis);
		}
	}

	/**
	 * Starts the hosts and runs them without an order, so that sessions begin before it.
	 */
	void startWithoutOrder(long millis) {
		for (Host host : this.hosts) {
			host.createWatch();
		}
		run(millis);
	}

	void run(long millis) {
		for (long step = 0; step < millis * 1_000_000L / STEP; step++) {
			this.now += STEP;
			completeDueWrites();
			for (Host host : this.hosts) {
				host.step();
			}
			this.endDueRequests();
			this.sendDueRequests();
		}
	}

	private void completeDueWrites() {
		while (!this.pendingWrites.isEmpty() && this.pendingWrites.peekFirst().at() <= this.now) {
			this.pendingWrites.pollFirst().write().run();
		}
	}

	private void endDueRequests() {
		while (!this.requestEnds.isEmpty() && this.requestEnds.peekFirst().at() <= this.now) {
			RequestEnd ending = this.requestEnds.pollFirst();
			ending.host().watch.onRequestActive(ending.version(), ending.key());
		}
	}

	private void sendDueRequests() {
		if (this.targetServers != null) {
			sendPlainRequests();
			return;
		}
		double due = this.requestsPerStep;
		while (due > this.random.nextDouble()) {
			due--;
			int session = this.random.nextInt(this.sessions);
			boolean onAnyHost = this.otherHostShare > 0 && this.random.nextDouble() < this.otherHostShare;
			int hostIndex = onAnyHost ? this.random.nextInt(this.hosts.size()) : session % this.hosts.size();
			Host host = this.hosts.get(hostIndex);
			if (host.alive) {
				request(host, session);
			}
		}
	}

	private void request(Host host, int session) {
		long key = session * 0x9E3779B97F4A7C15L + 12345;
		VersionGroup versions = host.watch.chooseVersions("s", key, true);
		boolean target = versions == VersionGroup.PREFER_TARGET;
		String version = target ? "v2" : "v1";
		String before = this.sessionVersions.put(session, version);
		Long last = this.sessionLastEnd.put(session, this.now + this.requestDurationNanos);
		this.requestEnds.addLast(new RequestEnd(this.now + this.requestDurationNanos, host, version, key));
		if (last != null && this.now - last < SESSION_NANOS) {
			countMoves(before, version);
		}
		host.watch.onRequestSent("s", version, key);
		this.requests++;
		this.targetRequests += target ? 1 : 0;
		boolean bad = this.random.nextDouble() < (target ? this.badShare : 0.004);
		host.watch.recordAnswer("s", version, "r", bad, true);
	}

	// Arrivals at random times, so that some requests overlap.
	private void sendPlainRequests() {
		this.nextArrival = Math.max(this.nextArrival, this.now - STEP);
		while (this.nextArrival < this.now) {
			plainRequest(this.hosts.get(this.random.nextInt(this.hosts.size())), this.nextArrival);
			this.nextArrival += (long) (-Math.log(1 - this.random.nextDouble()) * STEP / this.requestsPerStep);
		}
	}

	private void plainRequest(Host host, long arrival) {
		VersionGroup versions = host.watch.chooseVersionsWithoutSession("s", this.random.nextLong());
		boolean target = versions == VersionGroup.PREFER_TARGET;
		boolean often = this.random.nextDouble() < OFTEN_FAILING_ROUTE_SHARE;
		this.requests++;
		this.targetRequests += target ? 1 : 0;
		boolean bad = this.random.nextDouble() < (often ? OFTEN_FAILING_SHARE : SELDOM_FAILING_SHARE);
		if (target) {
			bad |= this.targetServers.fails(host.watch.serverShareWithoutSession("s"), arrival);
		}
		host.watch.recordAnswer("s", target ? "v2" : "v1", often ? "often" : "seldom", bad, false);
	}

	private void countMoves(String before, String version) {
		if ("v2".equals(before) && version.equals("v1")) {
			this.movedBackSessions++;
		}
		if ("v1".equals(before) && version.equals("v2") && this.now < this.halfTimeNanos) {
			this.movedEarlySessions++;
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

	long targetRequests() {
		return this.targetRequests;
	}

	long requests() {
		return this.requests;
	}

	int movedBackSessions() {
		return this.movedBackSessions;
	}

	int movedEarlySessions() {
		return this.movedEarlySessions;
	}

	Host host(int index) {
		return this.hosts.get(index);
	}

	/**
	 * Servers of the target version. A share of the requests goes to as large a part of
	 * them as in the load balancing, one server at least.
	 */
	private final class LoadedServers {

		/** Part of the servers relative to the share of the requests. */
		private static final double OVERSAMPLING = 1.5;

		private final long[] busyUntil;

		private final long workNanos;

		private final boolean failsUnderLoad;

		private LoadedServers(int servers, long workNanos, boolean failsUnderLoad) {
			this.busyUntil = new long[servers];
			this.workNanos = workNanos;
			this.failsUnderLoad = failsUnderLoad;
		}

		private boolean fails(double share, long arrival) {
			int used = (int) Math.ceil(Math.min(1, OVERSAMPLING * share) * this.busyUntil.length);
			int server = RolloutFleet.this.random.nextInt(Math.max(1, used));
			boolean busy = arrival < this.busyUntil[server];
			this.busyUntil[server] = Math.max(this.busyUntil[server], arrival + this.workNanos);
			return this.failsUnderLoad && busy && RolloutFleet.this.random.nextBoolean();
		}

	}

	/** Write that the log applies at a simulated time. */
	private record PendingWrite(long at, Runnable write) {
	}

	/** End of a request at a simulated time. */
	private record RequestEnd(long at, Host host, String version, long key) {
	}

	/** One simulated host. */
	final class Host implements RolloutStore {

		private final int index;

		private RolloutCoordinator watch;

		private int read;

		private boolean connectedToLog = true;

		private boolean alive = true;

		private long durationMillis;

		private int stepsToNextRead;

		private final Deque<Runnable> replies = new ArrayDeque<>();

		private Host(int index) {
			this.index = index;
		}

		private void createWatch() {
			this.watch = new RolloutCoordinator("h" + this.index,
					new RolloutCoordinator.Options(RolloutFleet.this.permittedShare, PERMITTED_SLACK,
							RolloutFleet.this.hosts::size, SESSION_NANOS),
					this, () -> RolloutFleet.this.now, new Random(this.index));
		}

		private void start(long durationMillis) {
			this.durationMillis = durationMillis;
			if (this.watch == null) {
				createWatch();
			}
			this.watch.onOrder(new PositionedValue<>(new RolloutOrder("s", "v2", durationMillis), ORDER_OFFSET));
		}

		void disconnectFromLog(boolean disconnected) {
			this.connectedToLog = !disconnected;
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
			this.stepsToNextRead--;
			if (this.connectedToLog && this.stepsToNextRead <= 0) {
				this.stepsToNextRead = RolloutFleet.this.stepsBetweenReads;
				readLog();
			}
			this.watch.tick();
		}

		private void readLog() {
			while (this.read < RolloutFleet.this.log.size()) {
				Object entry = RolloutFleet.this.log.get(this.read);
				if (entry instanceof RolloutStatus status) {
					this.watch.onStatus(new PositionedValue<>(aged(status, this.read), this.read));
				}
				else {
					this.watch.onReport((HostRolloutReport) entry);
				}
				this.read++;
			}
			this.watch.onRead(this.read);
		}

		// The age grows by the time since the record was written, as it does when a
		// host computes it from the clock time in the record.
		private RolloutStatus aged(RolloutStatus status, int offset) {
			long since = (RolloutFleet.this.now - RolloutFleet.this.writtenAt.get(offset)) / 1_000_000L;
			return new RolloutStatus(status.service(), status.target(), status.state(), status.order(),
					status.ageMillis() + since);
		}

		@Override
		public void writeStatus(RolloutStatus status, OptionalLong at, Consumer<StoreReply<Long>> reply) {
			send(() -> append(status, at, reply));
		}

		@Override
		public void writeReport(HostRolloutReport report, Consumer<StoreReply<Long>> reply) {
			send(() -> append(report, OptionalLong.empty(), reply));
		}

		@Override
		public void readNow() {
			this.stepsToNextRead = 0;
		}

		private void send(Runnable write) {
			if (RolloutFleet.this.writeDelayNanos == 0) {
				write.run();
				return;
			}
			RolloutFleet.this.pendingWrites.addLast(new PendingWrite(now() + RolloutFleet.this.writeDelayNanos, write));
		}

		private long now() {
			return RolloutFleet.this.now;
		}

		private void append(Object entry, OptionalLong at, Consumer<StoreReply<Long>> reply) {
			List<Object> log = RolloutFleet.this.log;
			if (!this.connectedToLog) {
				answer(reply, StoreReply.failed(new StoreFailure(StoreFailure.Kind.UNKNOWN, "disconnected")));
			}
			else if (at.isPresent() && at.getAsLong() != log.size()) {
				RolloutFleet.this.conflicts++;
				answer(reply,
						StoreReply.failed(new StoreFailure(StoreFailure.Kind.CONFLICT, "other records were appended")));
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
