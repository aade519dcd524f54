package io.sequoialink.bench.slopes;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.Experiment;
import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.ExperimentResult.Point;
import io.sequoialink.bench.Target;
import io.sequoialink.model.Json;

/**
 * Measures what each duty costs a host over numbers of hosts and fits a line to each.
 * Stateless and thread-safe.
 */
public final class SlopesExperiment implements Experiment {

	private static final long WINDOW_MILLIS = 10_000;

	private static final long QUICK_WINDOW_MILLIS = 3000;

	private static final int WARM_UP_HOSTS = 8;

	private static final int SMALL = 8;

	private static final int LARGE = 32;

	private static final double MAX_RATIO = 1.25;

	@Override
	public String name() {
		return "slopes";
	}

	@Override
	public String question() {
		return "What does each duty cost a host, and how does the cost grow with the number of hosts?";
	}

	@Override
	public String baselines() {
		return "none; the bounds are 15 KB/s, 1.4% of a core and 64 MB a host at 330 hosts";
	}

	@Override
	public List<Target> targets() {
		return List.of(Target.atMost("bytes_ratio_32_to_8", MAX_RATIO),
				Target.atMost("peer_bytes_ratio_32_to_8", MAX_RATIO),
				Target.atMost("bytes_at_330", CapacityTables.BYTES),
				Target.atMost("core_share_at_330", CapacityTables.CORE_SHARE),
				Target.atMost("retained_mb_at_330", CapacityTables.MEGABYTES));
	}

	@Override
	public ExperimentResult run(ExperimentOptions options) throws ExperimentException {
		List<Integer> counts = (options.hostCounts().size() > 1) ? options.hostCounts()
				: defaultCounts(options.quick());
		Map<String, List<Duty>> duties = new LinkedHashMap<>();
		List<Point> memory = new ArrayList<>();
		warmUp(options);
		for (int hosts : counts) {
			measure(hosts, options, duties, memory);
		}
		addConstant(CapacityTables.EXPECTED_HOSTS, duties);
		CapacityTables tables = new CapacityTables(duties, memory, growth(options));
		ObjectNode figures = Json.mapper().createObjectNode();
		figures.put("bytes_ratio_32_to_8", ratio(duties, ""));
		figures.put("peer_bytes_ratio_32_to_8", ratio(duties, "evidence"));
		figures.put("bytes_at_330", tables.bytesAtExpectedSize());
		figures.put("core_share_at_330", tables.coreShareAtExpectedSize());
		figures.put("retained_mb_at_330", tables.megabytesAtExpectedSize());
		List<String> markdown = tables.markdown(options);
		if (options.output().isPresent()) {
			write(options.output().get(), markdown);
		}
		return new ExperimentResult(figures, markdown, series(duties));
	}

	private static List<Integer> defaultCounts(boolean quick) {
		return quick ? List.of(SMALL, LARGE) : List.of(4, SMALL, 16, LARGE);
	}

	private static void warmUp(ExperimentOptions options) throws ExperimentException {
		measure(WARM_UP_HOSTS, options, new LinkedHashMap<>(), new ArrayList<>());
		StateCosts.fold(StateCosts.EXPECTED_VERSIONS, StateCosts.CHANGES_A_DAY, WARM_UP_HOSTS);
		StateCosts.evidence(WARM_UP_HOSTS, StateCosts.EXPECTED_VERSIONS);
	}

	private static void measure(int hosts, ExperimentOptions options, Map<String, List<Duty>> duties,
			List<Point> memory) throws ExperimentException {
		long window = options.quick() ? QUICK_WINDOW_MILLIS : WINDOW_MILLIS;
		try (PeerFleet fleet = new PeerFleet(hosts, options.seed(), window)) {
			for (Duty duty : fleet.measure()) {
				duties.computeIfAbsent(duty.name(), (missing) -> new ArrayList<>()).add(duty);
			}
			addConstant(hosts, duties);
			memory.add(new Point(hosts, fleet.retainedBytesPerHost()));
		}
		catch (IOException ex) {
			throw new ExperimentException("the hosts did not start", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ExperimentException("interrupted", ex);
		}
	}

	private static void addConstant(int hosts, Map<String, List<Duty>> duties) throws ExperimentException {
		try {
			List<Duty> costs = new ArrayList<>(HttpCosts.measure(hosts));
			costs.add(StateCosts.fold(StateCosts.EXPECTED_VERSIONS, StateCosts.CHANGES_A_DAY, hosts));
			costs.add(StateCosts.evidence(hosts, StateCosts.EXPECTED_VERSIONS));
			costs.forEach((duty) -> duties.computeIfAbsent(duty.name(), (missing) -> new ArrayList<>()).add(duty));
		}
		catch (IOException ex) {
			throw new ExperimentException("the sizes of requests can't be measured", ex);
		}
	}

	private static List<Growth> growth(ExperimentOptions options) throws ExperimentException {
		List<Growth> growths = new ArrayList<>();
		for (int versions : List.of(5, 10, StateCosts.EXPECTED_VERSIONS, 38)) {
			growths.add(new Growth("evidence of 8 hosts", "version", versions, StateCosts.evidence(SMALL, versions)));
			growths.add(new Growth("fold of 1,100 changes a day", "version", versions,
					StateCosts.fold(versions, StateCosts.CHANGES_A_DAY, SMALL)));
		}
		for (int changes : List.of(300, 1100, 2200, 4400)) {
			growths.add(new Growth("fold with 19 versions", "change a day", changes,
					StateCosts.fold(StateCosts.EXPECTED_VERSIONS, changes, SMALL)));
		}
		long window = options.quick() ? QUICK_WINDOW_MILLIS : WINDOW_MILLIS;
		try (PeerFleet fleet = new PeerFleet(SMALL, options.seed(), window)) {
			for (int rate : List.of(4, PeerFleet.BILLS_A_SECOND, 26)) {
				growths
					.add(new Growth("copies of bills, 8 hosts", "request a second and host", rate, fleet.bills(rate)));
			}
			return growths;
		}
		catch (IOException ex) {
			throw new ExperimentException("the hosts did not start", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ExperimentException("interrupted", ex);
		}
	}

	private static double ratio(Map<String, List<Duty>> duties, String without) {
		Map<String, List<Duty>> counted = new LinkedHashMap<>(duties);
		counted.keySet().removeIf((name) -> !without.isEmpty() && name.startsWith(without));
		return bytes(counted, LARGE) / bytes(counted, SMALL);
	}

	private static double bytes(Map<String, List<Duty>> duties, int hosts) {
		return duties.values()
			.stream()
			.flatMap(List::stream)
			.filter((duty) -> duty.hosts() == hosts)
			.mapToDouble(Duty::bytes)
			.sum();
	}

	private static Map<String, List<Point>> series(Map<String, List<Duty>> duties) {
		Map<String, List<Point>> series = new LinkedHashMap<>();
		duties.forEach((name, list) -> series.put(name,
				list.stream().map((duty) -> new Point(duty.hosts(), duty.bytes())).toList()));
		return series;
	}

	private static void write(Path directory, List<String> markdown) throws ExperimentException {
		try {
			CapacityPage.write(directory, markdown);
		}
		catch (IOException ex) {
			throw new ExperimentException("can't write the tables to " + directory, ex);
		}
	}

}
