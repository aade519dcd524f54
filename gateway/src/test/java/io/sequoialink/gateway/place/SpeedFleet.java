package io.sequoialink.gateway.place;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.decision.observation.SharedServerNotices;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.rollout.VersionGroup;

/**
 * Hosts before servers of different and changing speed, in simulated time. A host learns
 * of a server only what the responses to its own requests report, so that with many hosts
 * most of it is old. A server has slots and a queue; an engine processes one prompt after
 * the other and then generates all responses at once.
 */
final class SpeedFleet {

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	/** One way between a host and a server. */
	private static final long PATH_NANOS = MILLI;

	/** Time for which the speed of a machine stays the same. */
	private static final long CHANGE_NANOS = 100 * MILLI;

	/** Deviation of the logarithm of a machine's speed from one change to the next. */
	private static final double SPEED_DEVIATION = 0.25;

	private final Settings settings;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final SplittableRandom random = new SplittableRandom(41);

	private final FleetView view = new FleetView();

	private final List<Host> hosts = new ArrayList<>();

	private final List<Server> servers = new ArrayList<>();

	private final long startNanos = TimeUnit.HOURS.toNanos(1);

	private long now = this.startNanos;

	private long lastEvent;

	private int counted;

	private int onTime;

	private SpeedFleet(Settings settings, ChoiceFactory choice, boolean slowdownReports) {
		this.settings = settings;
		for (int i = 0; i < settings.servers; i++) {
			ServerEntry entry = new ServerEntry("i-" + i, "s", new InetSocketAddress("127.0.0.1", 1000 + i), zone(i),
					"v1", settings.work.slots, false, 0, 1);
			this.view.put(entry);
			this.servers.add(new Server(i, entry));
		}
		for (int i = 0; i < settings.hosts; i++) {
			this.hosts.add(new Host(i, choice, slowdownReports));
		}
	}

	/**
	 * Returns the share of requests on time after the first quarter of the run.
	 */
	static double shareOnTime(Settings settings, ChoiceFactory choice, boolean slowdownReports) {
		SpeedFleet fleet = new SpeedFleet(settings, choice, slowdownReports);
		fleet.run();
		return (double) fleet.onTime / fleet.counted;
	}

	private static String zone(int number) {
		return "z" + number % 3;
	}

	private void run() {
		arrive();
		while (this.now - this.startNanos < this.settings.seconds * 1e9) {
			Event next = this.events.poll();
			this.now = next.at;
			next.task.run();
		}
	}

	private void arrive() {
		double perSecond = this.settings.perServer * this.servers.size();
		after((long) (-Math.log(1 - this.random.nextDouble()) / perSecond * 1e9), () -> {
			this.hosts.get(this.random.nextInt(this.hosts.size())).send();
			arrive();
		});
	}

	private void after(long nanos, Runnable task) {
		this.events.add(new Event(this.now + nanos, this.lastEvent++, task));
	}

	private double seconds() {
		return (this.now - this.startNanos) / 1e9;
	}

	/** Kinds of work with the servers that do it. */
	enum Work {

		/** Short requests at small servers. */
		PLAIN(6, 393),
		/** Streams, whose time to the head counts. */
		STREAM(64, 2000);

		private final int slots;

		private final int targetMillis;

		Work(int slots, int targetMillis) {
			this.slots = slots;
			this.targetMillis = targetMillis;
		}

	}

	/** How the machines of the servers differ. */
	enum Speeds {

		EQUAL, ONE_TO_FOUR, SLOW_AND_BACK;

		/** Returns the factor of one server when a share of the run has passed. */
		private double slowdown(int server, int servers, double share) {
			return switch (this) {
				case EQUAL -> 1;
				case ONE_TO_FOUR -> 1 + 3.0 * server / (servers - 1);
				case SLOW_AND_BACK -> (server % 3 == 0 && share > 0.3 && share < 0.6) ? 4 : 1;
			};
		}

	}

	/** A fleet with its load per server and second. */
	record Settings(Work work, Speeds speeds, int hosts, int servers, double perServer, int seconds) {
	}

	/** Creates the choice of one host. */
	interface ChoiceFactory {

		LoadBalancer create(ServerTable table, PrefillSpeed speed, String zone, LongSupplier clock,
				RandomGenerator random);

	}

	private record Event(long at, long order, Runnable task) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.at != other.at) ? Long.compare(this.at, other.at) : Long.compare(this.order, other.order);
		}

	}

	private final class Host {

		private final ServerTable table = new ServerTable(SpeedFleet.this.view,
				new ServerNoticeTable(() -> SpeedFleet.this.now, new SplittableRandom(7), (server) -> true,
						ResponseNoticeListener.NONE),
				new SharedServerNotices(), new ServerLimitTable(new ServerLimits()), new EvacuatedZones(),
				new ColdServerTable(new ColdServers(), SpeedFleet.this.view, () -> SpeedFleet.this.now));

		private final LatencyBaseline baseline = new LatencyBaseline();

		private final SpeedMeasurement measurement = new SpeedMeasurement(this.baseline);

		private final PrefillSpeed prefill = new PrefillSpeed();

		private final LoadBalancer choice;

		private final boolean slowdownReports;

		private Host(int number, ChoiceFactory factory, boolean slowdownReports) {
			this.slowdownReports = slowdownReports;
			this.choice = factory.create(this.table, this.prefill, zone(number), () -> SpeedFleet.this.now,
					new SplittableRandom(100 + number));
		}

		private void send() {
			boolean stream = SpeedFleet.this.settings.work == Work.STREAM;
			int tokens = (int) (200 * Math.exp(2.5 * SpeedFleet.this.random.nextDouble()));
			PromptSize prompt = stream ? new PromptSize("m", 0, 0, tokens) : PromptSize.NONE;
			SelectedServer selected = this.choice
				.choose(new LoadBalancingRequest("s", VersionGroup.ANY, "", 1, prompt, Set.of(), 0,
						new ExpectedWork(this.baseline.typicalMillis("usual").orElse(0), 0)))
				.orElseThrow();
			selected.server().attemptStarted(selected.prefillMillis());
			Server server = SpeedFleet.this.servers.get(Integer.parseInt(selected.server().entry().id().substring(2)));
			Request request = new Request(this, selected, prompt, SpeedFleet.this.now);
			after(PATH_NANOS, () -> server.receive(request));
		}

		private void headReceived(Request request, int running, int waiting, int percent) {
			double millis = (SpeedFleet.this.now - request.sentNanos) / (double) MILLI;
			if (seconds() > SpeedFleet.this.settings.seconds / 4.0) {
				SpeedFleet.this.counted++;
				SpeedFleet.this.onTime += (millis <= SpeedFleet.this.settings.work.targetMillis) ? 1 : 0;
			}
			ServerState state = request.selected.server();
			state.responseStarted(request.selected.prefillMillis());
			OptionalInt slowdown = this.slowdownReports ? OptionalInt.of(percent) : OptionalInt.empty();
			this.table.loadReported(state, running, waiting, slowdown, SpeedFleet.this.now);
			if (waiting == 0) {
				double amount = request.prompt.inference() ? request.prompt.remainingTokens() / 1000.0 : 1;
				this.measurement.measured(state, "m", amount, millis, SpeedFleet.this.now);
				this.prefill.observe("m", request.prompt.remainingTokens(), millis);
			}
			this.baseline.observe("usual", millis);
		}

	}

	private record Request(Host host, SelectedServer selected, PromptSize prompt, long sentNanos) {
	}

	private final class Server {

		private final int number;

		private final ServerEntry entry;

		private final Deque<Request> queue = new ArrayDeque<>();

		private int running;

		private int unread;

		private long engineFreeAt;

		private Server(int number, ServerEntry entry) {
			this.number = number;
			this.entry = entry;
		}

		private double slowdown() {
			SplittableRandom change = new SplittableRandom(
					SpeedFleet.this.now / CHANGE_NANOS * 1_000_003 + this.number);
			return Math.exp(SPEED_DEVIATION * change.nextGaussian()) * SpeedFleet.this.settings.speeds
				.slowdown(this.number, SpeedFleet.this.servers.size(), seconds() / SpeedFleet.this.settings.seconds);
		}

		private void receive(Request request) {
			if (this.running == this.entry.slots()) {
				this.queue.add(request);
			}
			else {
				start(request);
			}
		}

		private void start(Request request) {
			this.running++;
			if (!request.prompt.inference()) {
				after((long) (86 * slowdown() * MILLI), () -> {
					end(request);
					respond(request);
				});
				return;
			}
			long began = Math.max(SpeedFleet.this.now, this.engineFreeAt);
			double millis = 10 + 0.06 * request.prompt.remainingTokens();
			this.unread++;
			after(began - SpeedFleet.this.now, () -> this.unread--);
			this.engineFreeAt = began + (long) (millis * slowdown() * MILLI);
			after(this.engineFreeAt - SpeedFleet.this.now, () -> {
				respond(request);
				after((long) (3000 * slowdown() * MILLI), () -> end(request));
			});
		}

		private void respond(Request request) {
			int percent = (int) Math.round(100 * slowdown());
			int runningNow = this.running - this.unread;
			int waitingNow = this.queue.size() + this.unread;
			after(PATH_NANOS, () -> request.host.headReceived(request, runningNow, waitingNow, percent));
		}

		private void end(Request request) {
			this.running--;
			after(PATH_NANOS, request.selected.server()::attemptEnded);
			if (!this.queue.isEmpty()) {
				start(this.queue.remove());
			}
		}

	}

}
