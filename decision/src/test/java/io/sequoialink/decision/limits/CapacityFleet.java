package io.sequoialink.decision.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Hosts in front of the servers of one service, in simulated time. Hosts know only what
 * stands in the responses that they got. A host sends at once to the server with the
 * lowest estimate, as without {@link CapacityPolicy}, or asks it before.
 */
final class CapacityFleet {

	static final String HEAVY = "account-0";

	private static final int ACCOUNTS = 24;

	/** Number of servers of which a host compares the load, as a balancer does. */
	private static final int SAMPLE = 3;

	private static final double NETWORK_MILLIS = 1;

	private static final double REPORT_MAX_AGE_MILLIS = 1500;

	private final SplittableRandom random;

	private final Setting setting;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::sequence));

	private final List<Server> servers;

	private final List<Host> hosts;

	private final List<Call> calls = new ArrayList<>();

	private double now;

	private long sequence;

	CapacityFleet(Setting setting, long seed) {
		this.setting = setting;
		this.random = new SplittableRandom(seed);
		this.servers = IntStream.range(0, setting.servers).mapToObj(Server::new).toList();
		this.hosts = IntStream.range(0, setting.hosts).mapToObj((index) -> new Host()).toList();
	}

	/** Runs the fleet, ignores the time before 15 s, and returns itself. */
	CapacityFleet run(double seconds) {
		double workPerCall = this.setting.kinds.stream().mapToDouble((kind) -> kind.share * kind.workMillis).sum();
		double capacity = this.setting.servers * this.setting.slots / workPerCall;
		double perMilli = this.setting.load * capacity * (1 + (this.setting.heavyFactor - 1) / ACCOUNTS);
		arrive(perMilli);
		if (this.setting.restless) {
			at(500, this::killHost);
		}
		while (!this.events.isEmpty() && this.events.peek().atMillis < seconds * 1000) {
			Event event = this.events.poll();
			this.now = event.atMillis;
			event.task.run();
		}
		this.calls.removeIf((call) -> call.startMillis < 15_000
				|| call.startMillis > seconds * 1000 - call.kind.deadlineMillis || call.lost);
		return this;
	}

	private void arrive(double perMilli) {
		at(-Math.log(1 - this.random.nextDouble()) / perMilli, () -> {
			new Call().submit();
			arrive(perMilli);
		});
	}

	private void killHost() {
		Host host = this.hosts.get(this.random.nextInt(this.hosts.size()));
		host.reset();
		host.up = false;
		at(3000, () -> host.up = true);
		at(20_000.0 / this.hosts.size(), this::killHost);
	}

	private void at(double delayMillis, Runnable task) {
		this.events.add(new Event(this.now + delayMillis, this.sequence++, task));
	}

	private long nanos() {
		return (long) (this.now * 1e6);
	}

	/** Share of the calls that were served on time, among those that did not leave. */
	double onTime(Predicate<Call> which) {
		return share(which, (call) -> call.servedMillis - call.startMillis <= call.kind.targetMillis);
	}

	double rejected(Predicate<Call> which) {
		return share(which, (call) -> call.rejectedMillis > 0);
	}

	private double share(Predicate<Call> which, Predicate<Call> what) {
		List<Call> counted = this.calls.stream().filter((call) -> !call.leaves).filter(which).toList();
		return (double) counted.stream().filter(what).count() / Math.max(1, counted.size());
	}

	/** Longest time in milliseconds in which 99 of 100 rejected calls were rejected. */
	double rejectionMillis() {
		double[] waits = this.calls.stream()
			.filter((call) -> call.rejectedMillis > 0)
			.mapToDouble((call) -> call.rejectedMillis - call.startMillis)
			.sorted()
			.toArray();
		return (waits.length > 0) ? waits[waits.length * 99 / 100] : 0;
	}

	long held() {
		return this.calls.stream().filter((call) -> call.held).count();
	}

	/** One call of a client with its retries. */
	final class Call {

		final Kind kind;

		final String account;

		final boolean retries;

		final boolean leaves;

		private final double startMillis;

		private double servedMillis = Double.POSITIVE_INFINITY;

		private double rejectedMillis;

		private boolean held;

		private boolean lost;

		private boolean left;

		private Host host;

		private int submissions;

		private int attempts;

		private double heldSince = Double.NaN;

		private Call() {
			this.startMillis = CapacityFleet.this.now;
			this.kind = draw(CapacityFleet.this.random.nextDouble());
			Setting set = CapacityFleet.this.setting;
			double weights = ACCOUNTS - 1 + set.heavyFactor;
			double drawn = CapacityFleet.this.random.nextDouble() * weights - set.heavyFactor;
			this.account = (drawn < 0) ? HEAVY : "account-" + (1 + (int) drawn);
			this.retries = set.restless && CapacityFleet.this.random.nextInt(3) == 0;
			this.leaves = set.restless && CapacityFleet.this.random.nextInt(5) == 0;
			CapacityFleet.this.calls.add(this);
			if (this.leaves) {
				at(CapacityFleet.this.random.nextDouble() * this.kind.targetMillis, () -> this.left = true);
			}
		}

		private Kind draw(double value) {
			double rest = value;
			for (Kind candidate : CapacityFleet.this.setting.kinds) {
				rest -= candidate.share;
				if (rest < 0) {
					return candidate;
				}
			}
			return CapacityFleet.this.setting.kinds.get(0);
		}

		private void submit() {
			this.submissions++;
			// One in six requests may be sent to three servers, the others to one.
			this.attempts = (CapacityFleet.this.random.nextInt(6) == 0) ? 3 : 1;
			if (this.host == null) {
				List<Host> live = CapacityFleet.this.hosts.stream().filter((candidate) -> candidate.up).toList();
				this.host = live.get(CapacityFleet.this.random.nextInt(live.size()));
			}
			this.host.arrived(this);
		}

		private void reject() {
			if (this.left) {
				return;
			}
			if (this.retries && this.submissions < 4) {
				at(NETWORK_MILLIS, this::submit);
				return;
			}
			this.rejectedMillis = CapacityFleet.this.now;
		}

	}

	/** A host with what it heard of the servers. */
	private final class Host {

		private boolean up = true;

		private ServiceCapacity room;

		private AccountDemand demand;

		private int[] inFlight;

		private int[] reported;

		private double[] reportedMillis;

		private List<Call> heldCalls;

		private Host() {
			this.heldCalls = new ArrayList<>();
			reset();
		}

		private void reset() {
			int count = CapacityFleet.this.servers.size();
			this.room = new ServiceCapacity();
			this.demand = new AccountDemand();
			this.inFlight = new int[count];
			this.reported = new int[count];
			this.reportedMillis = new double[count];
			this.heldCalls.forEach((call) -> call.lost = true);
			this.heldCalls = new ArrayList<>();
		}

		private void arrived(Call call) {
			this.demand.arrived(call.account, call.kind.priority, CapacityFleet.this.random.nextDouble(), nanos());
			decide(call);
		}

		private void decide(Call call) {
			if (!CapacityFleet.this.setting.withPolicy) {
				send(call);
				return;
			}
			List<Long> usable = CapacityFleet.this.servers.stream().map((server) -> (long) server.index).toList();
			double remaining = call.startMillis + call.kind.deadlineMillis - CapacityFleet.this.now;
			double heldFor = Double.isNaN(call.heldSince) ? 0 : CapacityFleet.this.now - call.heldSince;
			CapacityDecision decision = CapacityPolicy.decide(this.room, this.demand, new CapacityRequest(call.account,
					call.kind.priority, (long) call.kind.targetMillis, (long) remaining, (long) heldFor, usable),
					nanos());
			switch (decision.kind()) {
				case SEND -> send(call);
				case REJECT -> call.reject();
				case HOLD -> hold(call, decision.waitMillis());
			}
		}

		private void hold(Call call, long millis) {
			call.held = true;
			call.heldSince = Double.isNaN(call.heldSince) ? CapacityFleet.this.now : call.heldSince;
			this.heldCalls.add(call);
			at(millis, () -> {
				if (this.heldCalls.remove(call) && !call.left) {
					decide(call);
				}
			});
		}

		private void wake() {
			List<Call> woken = new ArrayList<>(this.heldCalls);
			this.heldCalls.clear();
			woken.removeIf((call) -> call.left);
			woken.sort(Comparator.comparingInt((call) -> call.kind.priority));
			woken.forEach(this::decide);
		}

		private void send(Call call) {
			call.attempts--;
			call.heldSince = Double.NaN;
			int best = IntStream.range(0, Math.min(SAMPLE, this.inFlight.length))
				.map((drawn) -> (this.inFlight.length <= SAMPLE) ? drawn
						: CapacityFleet.this.random.nextInt(this.inFlight.length))
				.boxed()
				.min(Comparator.comparingDouble((index) -> load(index) + (full(index) ? 1000 : 0)
						+ 1e-6 * CapacityFleet.this.random.nextDouble()))
				.orElseThrow();
			this.inFlight[best]++;
			AccountDemand sender = this.demand;
			at(NETWORK_MILLIS, () -> CapacityFleet.this.servers.get(best)
				.submit(new Work(call, this, sender, () -> !call.left && this.demand == sender)));
		}

		private boolean full(int index) {
			return CapacityFleet.this.setting.withPolicy && this.room.full(index, nanos());
		}

		private double load(int index) {
			double age = CapacityFleet.this.now - this.reportedMillis[index];
			double weight = (this.reportedMillis[index] > 0) ? Math.max(0, 1 - age / REPORT_MAX_AGE_MILLIS) : 0;
			return Math.max(this.inFlight[index], weight * this.reported[index]);
		}

		private void heard(Server server, Kind kind) {
			this.reported[server.index] = server.running + server.queue.size();
			this.reportedMillis[server.index] = CapacityFleet.this.now;
			this.room.reported(server.index, server.running, server.queue.size(), CapacityFleet.this.setting.slots,
					(long) kind.targetMillis, nanos());
			if (!this.heldCalls.isEmpty()) {
				wake();
			}
		}

	}

	/** An attempt at a server. */
	private record Work(Call call, Host host, AccountDemand sender, BooleanSupplier wanted) {

		boolean sentSinceStart() {
			return this.host.demand == this.sender;
		}

	}

	/** A server with slots and a queue that is ordered by priority. */
	private final class Server {

		private final int index;

		private int running;

		private final List<Work> queue = new ArrayList<>();

		private Server(int index) {
			this.index = index;
		}

		private void submit(Work work) {
			if (this.running < CapacityFleet.this.setting.slots) {
				begin(work);
			}
			else if (this.queue.size() < CapacityFleet.this.setting.queue) {
				this.queue.add(work);
				if (work.call.kind.stream) {
					this.queue.sort(Comparator.comparingInt((queued) -> queued.call.kind.priority));
				}
			}
			else {
				at(NETWORK_MILLIS, () -> turnedAway(work));
			}
		}

		private void turnedAway(Work work) {
			if (!work.sentSinceStart()) {
				work.call.lost = true;
				return;
			}
			work.host.inFlight[this.index]--;
			work.host.room.rejected(this.index, nanos());
			if (work.call.attempts > 0) {
				work.host.decide(work.call);
			}
			else {
				work.call.reject();
			}
		}

		private void begin(Work work) {
			this.running++;
			double millis = work.call.kind.workMillis * (0.8 + 0.4 * CapacityFleet.this.random.nextDouble());
			at(millis, () -> {
				this.running--;
				this.queue.removeIf((queued) -> !queued.wanted.getAsBoolean());
				if (!this.queue.isEmpty()) {
					begin(this.queue.remove(0));
				}
			});
			at((work.call.kind.stream ? 0 : millis) + NETWORK_MILLIS, () -> answer(work, millis));
		}

		private void answer(Work work, double millis) {
			if (!work.sentSinceStart()) {
				work.call.lost = true;
				return;
			}
			work.host.inFlight[this.index]--;
			work.host.room.worked(millis);
			work.host.heard(this, work.call.kind);
			if (!work.call.left) {
				work.call.servedMillis = CapacityFleet.this.now;
			}
		}

	}

	/**
	 * A fleet and its load. Immutable.
	 *
	 * @param hosts number of hosts
	 * @param servers number of servers
	 * @param slots slots of each server
	 * @param queue longest queue of each server
	 * @param kinds kinds of requests
	 * @param load offered work as a multiple of the capacity
	 * @param heavyFactor multiple of its usual rate at which one account sends, beyond
	 * the load
	 * @param restless whether a third of the callers retry three times at once and a
	 * fifth leave early, and a tenth of the hosts die and come back
	 * @param withPolicy whether hosts ask the policy
	 */
	record Setting(int hosts, int servers, int slots, int queue, List<Kind> kinds, double load, double heavyFactor,
			boolean restless, boolean withPolicy) {

		static Setting plain(double load, boolean withPolicy) {
			return new Setting(
					79, 3, 6, 24, List.of(new Kind(0, 0.3, 86, 393, 1200, false),
							new Kind(1, 0.4, 86, 393, 1200, false), new Kind(2, 0.3, 86, 393, 1200, false)),
					load, 1, false, withPolicy);
		}

		static Setting models(double load, boolean withPolicy) {
			return new Setting(
					79, 8, 24, 50, List.of(new Kind(0, 0.46, 900, 2000, 20_000, true),
							new Kind(1, 0.36, 900, 2000, 5000, true), new Kind(2, 0.18, 4000, 8000, 20_000, true)),
					load, 1, false, withPolicy);
		}

		Setting hosts(int number) {
			return new Setting(number, this.servers, this.slots, this.queue, this.kinds, this.load, this.heavyFactor,
					this.restless, this.withPolicy);
		}

		Setting heavy(double factor) {
			return new Setting(this.hosts, this.servers, this.slots, this.queue, this.kinds, this.load, factor,
					this.restless, this.withPolicy);
		}

		Setting withUnrest() {
			return new Setting(this.hosts, this.servers, this.slots, this.queue, this.kinds, this.load,
					this.heavyFactor, true, this.withPolicy);
		}

	}

	/** A kind of requests; times are in milliseconds. Immutable. */
	record Kind(int priority, double share, double workMillis, double targetMillis, double deadlineMillis,
			boolean stream) {
	}

	private record Event(double atMillis, long sequence, Runnable task) {
	}

}
