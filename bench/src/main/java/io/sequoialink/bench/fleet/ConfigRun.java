package io.sequoialink.bench.fleet;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.management.OperatingSystemMXBean;
import io.sequoialink.catalogue.Change;
import io.sequoialink.catalogue.ConfigRecords;
import io.sequoialink.catalogue.FoldState;
import io.sequoialink.catalogue.Verdict;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.VersionState;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.PlatformLog;
import io.sequoialink.standin.StandinLog;

/**
 * One run of the configuration experiment: hosts, two operators who race, and a schedule
 * of faults. Confined to the thread that runs it, which starts the others.
 */
final class ConfigRun {

	private static final int OPERATORS = 2;

	private static final int VERSIONS = 6;

	private static final long OPERATOR_PAUSE_MILLIS = 60;

	private static final long DRAIN_MILLIS = 6_000;

	private final long seed;

	private final int hostCount;

	private final long millis;

	private final List<ConfigHost> hosts = new ArrayList<>();

	private final Queue<Verdict> told = new ConcurrentLinkedQueue<>();

	private final AtomicInteger changes = new AtomicInteger();

	private final AtomicInteger unsettled = new AtomicInteger();

	private volatile boolean stopped;

	private long appends;

	private double processorSeconds;

	private double seconds;

	private List<LogRecord> records = List.of();

	ConfigRun(long seed, int hostCount, long millis) {
		this.seed = seed;
		this.hostCount = hostCount;
		this.millis = millis;
	}

	ConfigRun run() throws IOException, InterruptedException {
		long cpu = processorNanos();
		long begin = System.nanoTime();
		try (LoopbackLog log = new LoopbackLog()) {
			List<Thread> threads = start(log);
			injectFaults(log.standin());
			this.stopped = true;
			Thread.sleep(DRAIN_MILLIS);
			this.hosts.forEach(ConfigHost::stop);
			for (Thread thread : threads) {
				thread.join();
			}
			this.records = log.standin().records(PlatformLog.CONFIG);
			this.appends = log.standin().appendCount();
		}
		this.seconds = (System.nanoTime() - begin) / 1e9;
		this.processorSeconds = (processorNanos() - cpu) / 1e9;
		return this;
	}

	List<ConfigHost> hosts() {
		return this.hosts;
	}

	List<Verdict> told() {
		return List.copyOf(this.told);
	}

	List<LogRecord> records() {
		return this.records;
	}

	int changes() {
		return this.changes.get();
	}

	int unsettled() {
		return this.unsettled.get();
	}

	double appendsPerSecond() {
		return this.appends / this.seconds;
	}

	double processorShareOfHost() {
		return this.processorSeconds / this.seconds / this.hostCount;
	}

	double bytesPerSecondOfHost() {
		return this.hosts.stream().mapToLong((host) -> host.log().bytes()).sum() / this.seconds / this.hostCount;
	}

	FoldState reference() {
		return FleetObjects.fold(this.records);
	}

	private List<Thread> start(LoopbackLog log) {
		for (int i = 0; i < VERSIONS; i++) {
			Change change = FleetObjects.put("init-" + i, FleetObjects.version(i, 1, VersionState.OFFERED), -1);
			log.standin().append(PlatformLog.CONFIG, List.of(ConfigRecords.write(change)));
		}
		for (int i = 0; i < this.hostCount; i++) {
			this.hosts.add(new ConfigHost(log.stream(PlatformLog.CONFIG), this.hosts, this.seed + i));
		}
		List<Thread> threads = new ArrayList<>();
		this.hosts.forEach((host) -> threads.add(new Thread(host)));
		for (int i = 0; i < OPERATORS; i++) {
			Random random = new Random(this.seed * 31 + i);
			threads.add(new Thread(() -> operate(random)));
		}
		threads.forEach(Thread::start);
		return threads;
	}

	// Cuts half of the hosts off, slows the log, takes it down, restarts hosts.
	private void injectFaults(StandinLog log) throws InterruptedException {
		Random random = new Random(this.seed);
		long part = this.millis / 8;
		for (int i = 0; i < 8; i++) {
			log.dropResponses(1);
			this.hosts.subList(0, this.hosts.size() / 2).forEach((host) -> host.log().cut(false));
			log.setDelay((i == 2 || i == 5) ? 300 : 0);
			log.setUnavailable(i == 4);
			if (i == 1 || i == 5) {
				this.hosts.subList(0, this.hosts.size() / 2).forEach((host) -> host.log().cut(true));
			}
			if (i == 3 || i == 5 || i == 6) {
				this.hosts.get(random.nextInt(this.hosts.size())).restart();
			}
			Thread.sleep(part);
		}
	}

	private void operate(Random random) {
		int count = 0;
		while (!this.stopped) {
			ConfigHost host = this.hosts.get(random.nextInt(this.hosts.size()));
			Change change = change(random, host.catalogue().view(), "c" + random.nextLong() + "-" + count++);
			try {
				this.changes.incrementAndGet();
				this.told.add(host.catalogue().apply(change));
			}
			catch (LogUnavailableException ex) {
				this.unsettled.incrementAndGet();
			}
			try {
				Thread.sleep(OPERATOR_PAUSE_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private static Change change(Random random, CatalogueView view, String id) {
		int index = random.nextInt(VERSIONS);
		VersionState state = random.nextBoolean() ? VersionState.OFFERED : VersionState.WITHDRAWN;
		ModelVersion version = FleetObjects.version(index, 1 + random.nextInt(1_000), state);
		long expected = view.entry(version.key()).map(CatalogueView.Entry::revision).orElse(-1L);
		return FleetObjects.put(id.replace('-', '_'), version, expected);
	}

	private static long processorNanos() {
		return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
	}

}
