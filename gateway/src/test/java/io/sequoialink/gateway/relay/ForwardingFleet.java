package io.sequoialink.gateway.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

import io.sequoialink.gateway.count.LabelledCounters;
import io.sequoialink.gateway.feed.KeyedRecord;
import io.sequoialink.gateway.feed.KeyedTopic;
import io.sequoialink.gateway.feed.PollResult;
import io.sequoialink.gateway.feed.PollingSettings;
import io.sequoialink.gateway.feed.ReadPath;
import io.sequoialink.gateway.feed.RecordSink;
import io.sequoialink.gateway.feed.SnapshotPage;
import io.sequoialink.gateway.feed.StoreAvailability;
import io.sequoialink.gateway.feed.StoreFailure;
import io.sequoialink.gateway.feed.StoreReply;
import io.sequoialink.gateway.feed.TopicFollower;
import io.sequoialink.gateway.fleet.StorePosition;

/**
 * Simulates hosts that follow the operator's and the servers' topic of one store, in
 * simulated time and with faults of hosts, links and the store. What a host does with the
 * records can be replaced. Confined to one thread.
 */
final class ForwardingFleet {

	static final long MAX_DELAY_MILLIS = 2000;

	static final String SERVERS = "servers";

	static final String OPERATOR = "op";

	/**
	 * Polling settings of a production host for the two topics, for a maximum delay of 2
	 * s.
	 */
	private static final Map<String, PollingSettings> POLLING = Map.of(SERVERS,
			new PollingSettings(100, 100, 1400, 300, 600, 1600), OPERATOR,
			new PollingSettings(1400, 1400, 0, 300, 2400, 1600));

	/** Size of the IP and UDP headers of a datagram. */
	private static final int HEADER_BYTES = 28;

	private static final long CALL_MILLIS = 5;

	/** Time until a process that is started makes its first call. */
	static final long START_MILLIS = 300;

	/** Time after which a call without a response has failed, beyond its wait. */
	private static final long CALL_TIMEOUT_MILLIS = 1500;

	private final SplittableRandom random;

	private final Function<LongSupplier, RecordSink> sinks;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<String, List<KeyedRecord>> logs = Map.of(SERVERS, new ArrayList<>(), OPERATOR, new ArrayList<>());

	private final Map<String, Host> hosts = new HashMap<>();

	private final Set<String> disconnectedHosts = new HashSet<>();

	private double lossRate;

	private long sequence;

	private long nowMillis = 1;

	private int storeCalls;

	private long era = 1;

	private int pageSize = Integer.MAX_VALUE;

	private boolean silent;

	private final Map<String, Integer> historyStarts = new HashMap<>();

	private long datagramBytes;

	ForwardingFleet(int size, int zones, long seed) {
		this(size, zones, seed, ValueSink::new);
	}

	/**
	 * Creates a fleet.
	 * @param sinks creates what receives the records of a host, given its clock in
	 * nanoseconds; called again for each start of the host
	 */
	ForwardingFleet(int size, int zones, long seed, Function<LongSupplier, RecordSink> sinks) {
		this.random = new SplittableRandom(seed);
		this.sinks = sinks;
		for (int i = 0; i < size; i++) {
			String name = String.format("h-%03d", i);
			this.hosts.put(name, new Host(
					new Peer(name, "zone-" + i % zones, new InetSocketAddress("10.0.0." + i % 250, 1000 + i))));
		}
		put(OPERATOR, "config", "first");
		this.hosts.values().forEach((host) -> start(host, this.random.nextInt(300)));
	}

	private void start(Host host, long delayMillis) {
		this.hosts.values().forEach((other) -> host.forwarder.onPeer(other.self, 0));
		schedule(delayMillis, host, () -> host.followers.values().forEach(TopicFollower::start));
	}

	// Tasks of a frozen host wait until it continues; those of a killed host are
	// discarded.
	private void schedule(long delayMillis, Host host, Runnable work) {
		this.events.add(new Event(this.nowMillis + delayMillis, this.sequence++, () -> {
			if (host == null) {
				work.run();
			}
			else if (host.frozenUntil > this.nowMillis) {
				schedule(host.frozenUntil - this.nowMillis, host, work);
			}
			else if (!host.dead) {
				work.run();
			}
		}));
	}

	void run(long millis) {
		long until = this.nowMillis + millis;
		while (!this.events.isEmpty() && this.events.peek().atMillis <= until) {
			Event event = this.events.poll();
			this.nowMillis = event.atMillis;
			event.work.run();
		}
		this.nowMillis = until;
	}

	void put(String topic, String key, String value) {
		List<KeyedRecord> log = this.logs.get(topic);
		log.add(new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8), log.size()));
	}

	/**
	 * The store returns from a copy that lacks the newest records of the operator's
	 * topic, and gives their offsets out again at once.
	 */
	void returnFromCopy(int lostRecords) {
		this.era++;
		lose(OPERATOR, lostRecords);
	}

	/** Does the same with both topics. */
	void returnFromCopy(int lostOperatorRecords, int lostServerRecords) {
		returnFromCopy(lostOperatorRecords);
		lose(SERVERS, lostServerRecords);
	}

	private void lose(String topic, int records) {
		List<KeyedRecord> log = this.logs.get(topic);
		log.subList(Math.max(0, log.size() - records), log.size()).clear();
		this.historyStarts.merge(topic, log.size(), Math::min);
	}

	/** The store drops the history of a topic; the newest record of each key stays. */
	void compact(String topic) {
		this.historyStarts.put(topic, this.logs.get(topic).size());
	}

	/** Sets whether the store leaves calls without a response. */
	void silence(boolean isSilent) {
		this.silent = isSilent;
	}

	/** Sets how many records a page of newest records holds at most. */
	void pageSize(int records) {
		this.pageSize = records;
	}

	/** Returns the values of a topic's keys, as the store has them. */
	Map<String, String> stored(String topic) {
		Map<String, String> newest = new TreeMap<>();
		this.logs.get(topic)
			.forEach((record) -> newest.put(record.key(), new String(record.value(), StandardCharsets.UTF_8)));
		newest.values().removeIf(String::isEmpty);
		return newest;
	}

	/** Returns the names of all hosts, in order. */
	List<String> hostNames() {
		return this.hosts.keySet().stream().sorted().toList();
	}

	/** Returns the sinks of the hosts that are healthy, by name. */
	Map<String, RecordSink> healthySinks() {
		Map<String, RecordSink> healthy = new TreeMap<>();
		this.hosts.forEach((name, host) -> {
			if (host.healthy()) {
				healthy.put(name, host.sink);
			}
		});
		return healthy;
	}

	/** Replaces the process of a host by one that knows nothing. */
	void restart(String name) {
		Host before = this.hosts.get(name);
		before.dead = true;
		Host started = new Host(before.self);
		this.hosts.put(name, started);
		start(started, START_MILLIS);
	}

	void reconnectToStore(String name) {
		this.disconnectedHosts.remove(name);
	}

	/** Runs a task after a delay, independent of any host. */
	void later(long delayMillis, Runnable task) {
		schedule(delayMillis, null, task);
	}

	/** Lets backend servers write their unchanged record every 1.2 s. */
	void startHeartbeats(int servers) {
		for (int i = 0; i < servers; i++) {
			writeHeartbeats("server-" + i, i * 1200L / servers);
		}
	}

	private void writeHeartbeats(String key, long delay) {
		schedule(delay, null, () -> {
			put(SERVERS, key, "ready");
			writeHeartbeats(key, 1200);
		});
	}

	/**
	 * Writes a change and runs until all healthy hosts know it.
	 * @return elapsed milliseconds, at most about 20,000
	 */
	long millisUntilAllHostsKnow(String topic, String value) {
		put(topic, "change", value);
		long start = this.nowMillis;
		while (this.hosts.values()
			.stream()
			.anyMatch((host) -> host.healthy() && !value.equals(((ValueSink) host.sink).values.get("change")))) {
			run(10);
			if (this.nowMillis - start > 20_000) {
				break;
			}
		}
		return this.nowMillis - start;
	}

	void kill(String name) {
		this.hosts.get(name).dead = true;
	}

	void freeze(String name, long millis) {
		this.hosts.get(name).frozenUntil = this.nowMillis + millis;
	}

	void disconnectFromStore(String name) {
		this.disconnectedHosts.add(name);
	}

	void loseDatagrams(double share) {
		this.lossRate = share;
	}

	int storeCalls() {
		return this.storeCalls;
	}

	long datagramBytes() {
		return this.datagramBytes;
	}

	/** Task that runs at a simulated time. */
	private record Event(long atMillis, long order, Runnable work) implements Comparable<Event> {
		@Override
		public int compareTo(Event other) {
			return (this.atMillis != other.atMillis) ? Long.compare(this.atMillis, other.atMillis)
					: Long.compare(this.order, other.order);
		}
	}

	/** One simulated host. */
	private final class Host {

		private final Peer self;

		private final ReadForwarder forwarder;

		private final Map<String, TopicFollower> followers = new HashMap<>();

		private final RecordSink sink;

		private boolean dead;

		private long seenEra = StorePosition.NO_ERA;

		private final Set<Runnable> hanging = new LinkedHashSet<>();

		private long frozenUntil;

		private Host(Peer self) {
			this.self = self;
			this.sink = ForwardingFleet.this.sinks.apply(() -> ForwardingFleet.this.nowMillis * 1_000_000L);
			this.forwarder = new ReadForwarder(self, this::send,
					(read) -> this.followers.get(read.topic()).forwarded(read), 4_000_000_000L,
					() -> ForwardingFleet.this.nowMillis * 1_000_000L);
			StoreAvailability availability = new StoreAvailability(new LabelledCounters("topic", "outcome"),
					new LabelledCounters("topic", "outcome"));
			POLLING.forEach((topic, pace) -> this.followers.put(topic,
					new TopicFollower(new Store(topic), this.sink, () -> pace,
							(work, delay) -> schedule(delay, this, work),
							() -> ForwardingFleet.this.nowMillis * 1_000_000L, availability, this.forwarder)));
		}

		private boolean healthy() {
			return !this.dead && this.frozenUntil <= ForwardingFleet.this.nowMillis
					&& !ForwardingFleet.this.disconnectedHosts.contains(this.self.host());
		}

		private void send(InetSocketAddress to, byte[] datagram) {
			ForwardingFleet.this.datagramBytes += datagram.length + HEADER_BYTES;
			if (ForwardingFleet.this.random.nextDouble() < ForwardingFleet.this.lossRate) {
				return;
			}
			ForwardingFleet.this.hosts.values()
				.stream()
				.filter((host) -> host.self.address().equals(to))
				.forEach((host) -> schedule(1 + ForwardingFleet.this.random.nextInt(3), host,
						() -> host.forwarder.onDatagram(this.self.address().getAddress(), datagram)));
		}

		/** Access of this host to the simulated store. */
		private final class Store implements KeyedTopic {

			private final String topic;

			private Store(String topic) {
				this.topic = topic;
			}

			// The store names its present era for all records, also for those of the
			// copy.
			private List<KeyedRecord> log() {
				return ForwardingFleet.this.logs.get(this.topic)
					.stream()
					.map((record) -> new KeyedRecord(record.key(), record.value(),
							new StorePosition(ForwardingFleet.this.era, record.offset())))
					.toList();
			}

			@Override
			public String name() {
				return this.topic;
			}

			@Override
			public long era() {
				return Host.this.seenEra;
			}

			@Override
			public void readSnapshot(Optional<String> after, Consumer<StoreReply<SnapshotPage>> reply) {
				call(0, () -> reply.accept(StoreReply.of(page(after))), reply);
			}

			private SnapshotPage page(Optional<String> after) {
				NavigableMap<String, KeyedRecord> newest = new TreeMap<>();
				log().forEach((record) -> newest.put(record.key(), record));
				newest.values().removeIf(KeyedRecord::deleted);
				List<KeyedRecord> rest = after.map((key) -> newest.tailMap(key, false))
					.orElse(newest)
					.values()
					.stream()
					.toList();
				int size = Math.min(ForwardingFleet.this.pageSize, rest.size());
				Optional<String> next = (size < rest.size()) ? Optional.of(rest.get(size - 1).key()) : Optional.empty();
				return new SnapshotPage(List.copyOf(rest.subList(0, size)), next, log().size());
			}

			@Override
			public void poll(long from, int waitMillis, Consumer<StoreReply<PollResult>> reply) {
				call(waitMillis, () -> answer(from, waitMillis, reply), reply);
			}

			private void answer(long from, int waitMillis, Consumer<StoreReply<PollResult>> reply) {
				int end = ForwardingFleet.this.logs.get(this.topic).size();
				Host.this.seenEra = ForwardingFleet.this.era;
				if (from > end || from < ForwardingFleet.this.historyStarts.getOrDefault(this.topic, 0)) {
					reply.accept(StoreReply.of(new PollResult(List.of(), from, end, true)));
					return;
				}
				if (from >= end && waitMillis > 0) {
					schedule(10, Host.this, () -> answer(from, waitMillis - 10, reply));
					return;
				}
				List<KeyedRecord> records = List.copyOf(log().subList((int) from, end));
				reply.accept(StoreReply.of(new PollResult(records, end, end, false)));
			}

			private <T> void call(int waitMillis, Runnable work, Consumer<StoreReply<T>> reply) {
				ForwardingFleet.this.storeCalls++;
				boolean reached = !ForwardingFleet.this.disconnectedHosts.contains(Host.this.self.host());
				if (ForwardingFleet.this.silent) {
					Runnable end = () -> reply
						.accept(StoreReply.failed(new StoreFailure(StoreFailure.Kind.UNKNOWN, "no response")));
					hang(waitMillis + CALL_TIMEOUT_MILLIS, end, () -> reply
						.accept(StoreReply.failed(new StoreFailure(StoreFailure.Kind.RENEWED, "made again"))));
					return;
				}
				schedule(CALL_MILLIS, Host.this, reached ? () -> inPresentEra(work) : () -> reply
					.accept(StoreReply.failed(new StoreFailure(StoreFailure.Kind.REFUSED, "disconnected"))));
			}

			// A call that was sent to the silent store gets no response, also once the
			// store is back.
			private void hang(long millis, Runnable end, Runnable aborted) {
				Host.this.hanging.add(aborted);
				schedule(millis, Host.this, () -> {
					if (Host.this.hanging.remove(aborted)) {
						end.run();
					}
				});
			}

			private void inPresentEra(Runnable work) {
				boolean changed = Host.this.seenEra != StorePosition.NO_ERA
						&& Host.this.seenEra != ForwardingFleet.this.era;
				Host.this.seenEra = ForwardingFleet.this.era;
				if (changed) {
					Host.this.followers.values().forEach(TopicFollower::pollNow);
				}
				work.run();
			}

			@Override
			public void abortWaitingCalls() {
				List<Runnable> due = List.copyOf(Host.this.hanging);
				Host.this.hanging.clear();
				due.forEach((aborted) -> schedule(0, Host.this, aborted));
			}

			@Override
			public void append(String key, byte[] value, OptionalLong at, Consumer<StoreReply<Long>> reply) {
				throw new UnsupportedOperationException("simulated hosts do not write to the store");
			}

		}

	}

	/** Keeps the newest value of each key. */
	private static final class ValueSink implements RecordSink {

		private final Map<String, String> values = new HashMap<>();

		private ValueSink(LongSupplier clock) {
			// values have no age
		}

		@Override
		public boolean accept(KeyedRecord record, ReadPath path) {
			String value = new String(record.value(), StandardCharsets.UTF_8);
			return !value.equals(this.values.put(record.key(), value));
		}

		@Override
		public void caughtUp(long end) {
			// the test checks the records only
		}

	}

}
