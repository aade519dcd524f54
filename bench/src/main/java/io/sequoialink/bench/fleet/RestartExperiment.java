package io.sequoialink.bench.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.Target;
import io.sequoialink.catalogue.ConfigRecords;
import io.sequoialink.catalogue.FoldState;
import io.sequoialink.catalogue.LogCatalogue;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.Json;
import io.sequoialink.model.VersionState;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.PlatformLog;
import io.sequoialink.standin.StandinLog;

/**
 * All hosts start at once while the log is down, with a history of which retention has
 * left one checkpoint and its tail. Stateless and thread-safe.
 */
public final class RestartExperiment implements Experiment {

	private static final int VERSIONS = 19;

	// Objects in place of the 740 runners, which the platform's list holds in fact.
	private static final int OBJECTS = 740;

	private static final int CHANGES = 1_100;

	private static final int TAIL = 200;

	private static final long OUTAGE_MILLIS = 2_000;

	private static final long POLL_MILLIS = 100;

	private static final long DEADLINE_MILLIS = 20_000;

	private static final long READY_BOUND_MILLIS = 5_000;

	@Override
	public String name() {
		return "restart";
	}

	@Override
	public String question() {
		return "How long does a fleet that starts all at once, with the log down, take to hold the whole state?";
	}

	@Override
	public String baselines() {
		return "none: the reference is the fold of all records before retention";
	}

	@Override
	public List<Target> targets() {
		return List.of(Target.atMost("state_lost", 0), Target.atMost("ready_p99_ms", READY_BOUND_MILLIS),
				Target.atLeast("checkpoint_bytes", 1));
	}

	@Override
	public ExperimentResult run(ExperimentOptions options) throws ExperimentException {
		try {
			List<String> notes = new ArrayList<>();
			notes.add("740 accounts stand for the size of the state; runners themselves come from the platform's list");
			Map<String, List<ExperimentResult.Point>> series = new TreeMap<>();
			if (!options.quick()) {
				for (int hosts : options.hostCounts()) {
					ObjectNode figures = measure(options.seed(), hosts);
					notes.add(hosts + " hosts: " + figures);
					series.computeIfAbsent("ready p99, ms", (key) -> new ArrayList<>())
						.add(new ExperimentResult.Point(hosts, figures.path("ready_p99_ms").asDouble()));
				}
			}
			return new ExperimentResult(measure(options.seed(), options.hosts()), notes, series);
		}
		catch (IOException | LogUnavailableException ex) {
			throw new ExperimentException("the stand-in of the log failed", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ExperimentException("interrupted", ex);
		}
	}

	private static ObjectNode measure(long seed, int hosts)
			throws IOException, LogUnavailableException, InterruptedException {
		try (LoopbackLog log = new LoopbackLog()) {
			FoldState reference = fill(log, new Random(seed));
			LogRecord checkpoint = log.standin().records(PlatformLog.CONFIG).get(0);
			long bytes = log.standin()
				.records(PlatformLog.CONFIG)
				.stream()
				.filter((record) -> record.payload().length > 2_000)
				.mapToLong((record) -> record.payload().length)
				.sum();
			log.standin().setUnavailable(true);
			List<Long> ready = startAll(log, hosts, reference);
			ObjectNode node = Json.mapper().createObjectNode();
			node.put("hosts", hosts);
			node.put("ready_p99_ms", Percentile.p99(ready));
			node.put("checkpoint_bytes", bytes);
			node.put("records_replayed", reference.next() - checkpoint.offset());
			node.put("state_lost", hosts - ready.size());
			return node;
		}
	}

	// Writes a day of changes, a checkpoint and a tail, and trims all before it.
	private static FoldState fill(LoopbackLog log, Random random) throws LogUnavailableException {
		StandinLog standin = log.standin();
		List<ConfigObject> objects = new ArrayList<>();
		for (int i = 0; i < VERSIONS; i++) {
			objects.add(FleetObjects.version(i, i, VersionState.OFFERED));
		}
		for (int i = 0; i < OBJECTS; i++) {
			objects.add(FleetObjects.account(i));
		}
		objects.forEach((object) -> append(standin, object, -1));
		LogCatalogue writer = LogCatalogue.builder(log.stream(PlatformLog.CONFIG))
			.checkpointWriter(() -> true)
			.checkpointChanges(1)
			.build();
		FoldState state = FoldState.empty();
		for (int i = 0; i < CHANGES; i++) {
			if (i == CHANGES - TAIL) {
				writer.poll();
				writer.writeCheckpointIfDue();
			}
			if (i % 100 == 0) {
				state = FleetObjects.fold(standin.records(PlatformLog.CONFIG));
			}
			ConfigObject object = objects.get((i % 100) * 7 % objects.size());
			append(standin, changed(object, random), state.view().entry(object.key()).orElseThrow().revision());
		}
		FoldState reference = FleetObjects.fold(standin.records(PlatformLog.CONFIG));
		int kept = (int) standin.records(PlatformLog.CONFIG)
			.stream()
			.dropWhile((record) -> record.payload().length < 2_000)
			.count();
		standin.setRetention(kept, Long.MAX_VALUE);
		return reference;
	}

	private static ConfigObject changed(ConfigObject object, Random random) {
		if (object instanceof ClientAccount account) {
			return new ClientAccount(account.id(), account.labels().with("size", "s" + random.nextInt(100)),
					account.keyDigest(), account.allowedVersions(), account.priority(), account.limits());
		}
		int index = Integer.parseInt(object.key().name().replace("version-", ""));
		return FleetObjects.version(index, random.nextInt(1_000), VersionState.OFFERED);
	}

	private static void append(StandinLog log, ConfigObject object, long expected) {
		String id = "c" + log.appendCount();
		log.append(PlatformLog.CONFIG, List.of(ConfigRecords.write(FleetObjects.put(id, object, expected))));
	}

	private static List<Long> startAll(LoopbackLog log, int hosts, FoldState reference) throws InterruptedException {
		ConcurrentLinkedQueue<Long> ready = new ConcurrentLinkedQueue<>();
		long up = System.nanoTime() + OUTAGE_MILLIS * 1_000_000;
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < hosts; i++) {
			LogCatalogue host = LogCatalogue.builder(log.stream(PlatformLog.CONFIG)).build();
			threads.add(new Thread(() -> join(host, reference, up, ready)));
		}
		threads.forEach(Thread::start);
		Thread.sleep(OUTAGE_MILLIS);
		log.standin().setUnavailable(false);
		for (Thread thread : threads) {
			thread.join();
		}
		return List.copyOf(ready);
	}

	private static void join(LogCatalogue host, FoldState reference, long up, ConcurrentLinkedQueue<Long> ready) {
		while (System.nanoTime() - up < DEADLINE_MILLIS * 1_000_000) {
			try {
				host.poll();
				if (same(host.view(), reference.view())) {
					ready.add((System.nanoTime() - up) / 1_000_000);
				}
				return;
			}
			catch (LogUnavailableException ex) {
				pause();
			}
		}
	}

	private static boolean same(CatalogueView a, CatalogueView b) {
		return a.revision() == b.revision() && List.copyOf(a.entries()).equals(List.copyOf(b.entries()));
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
