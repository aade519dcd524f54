package io.sequoialink.bench.slopes;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult.Point;

/**
 * The tables of {@code docs/CAPACITY.md}: what was measured, the fitted lines, and their
 * values at the expected size. A line that falls is not carried on: its highest measured
 * value is taken instead. What does not need sockets is measured at the expected size.
 * Immutable by convention; thread-safe.
 */
final class CapacityTables {

	/** Bytes a second that a host may send for control. */
	static final double BYTES = 15_000;

	/** Share of a core that a host may use for control. */
	static final double CORE_SHARE = 0.014;

	/** Megabytes that a host may retain for control. */
	static final double MEGABYTES = 64;

	/** Hosts at the expected size. */
	static final int EXPECTED_HOSTS = 330;

	private static final double MEGABYTE = 1_000_000;

	private static final double PERCENT = 100;

	private final Map<String, List<Duty>> duties;

	private final List<Point> memory;

	private final List<Growth> growths;

	CapacityTables(Map<String, List<Duty>> duties, List<Point> memory, List<Growth> growths) {
		this.duties = duties;
		this.memory = memory;
		this.growths = growths;
	}

	double bytesAtExpectedSize() {
		return atExpectedSize(Duty::bytes);
	}

	double coreShareAtExpectedSize() {
		return atExpectedSize(Duty::coreShare);
	}

	double megabytesAtExpectedSize() {
		double highest = this.memory.stream().mapToDouble(Point::y).max().orElse(0);
		return Math.max(highest, LinearFit.of(this.memory).at(EXPECTED_HOSTS)) / MEGABYTE;
	}

	List<String> markdown(ExperimentOptions options) {
		List<String> lines = new ArrayList<>();
		lines.add("Measured with seed " + options.seed() + (options.quick() ? ", quick windows." : "."));
		lines.add("");
		lines.add("| duty | hosts | bytes/s a host | messages/s a host | % of a core a host |");
		lines.add("|---|---|---|---|---|");
		this.duties.values().forEach((list) -> list.forEach((duty) -> lines.add(measured(duty))));
		lines.add("");
		lines.add("| duty | bytes/s a further host | error of the slope | times the measured rate | bytes/s at "
				+ EXPECTED_HOSTS + " hosts | messages/s | % of a core |");
		lines.add("|---|---|---|---|---|---|---|");
		this.duties.forEach((name, list) -> lines.add(fitted(name, list)));
		lines.add(total());
		lines.add("");
		lines.add("| duty | for each further | measured at | bytes/s | error | % of a core | error |");
		lines.add("|---|---|---|---|---|---|---|");
		Map<String, List<Growth>> byName = new LinkedHashMap<>();
		this.growths
			.forEach((growth) -> byName.computeIfAbsent(growth.name(), (missing) -> new ArrayList<>()).add(growth));
		byName.forEach((name, list) -> lines.add(grown(name, list)));
		lines.add("");
		lines.add("| hosts | retained KB a host |");
		lines.add("|---|---|");
		this.memory.forEach((point) -> lines.add(format("| %.0f | %.0f |", point.x(), point.y() / 1000)));
		lines.add(format("| %d (from the line, %.2f KB a further host) | %.0f |", EXPECTED_HOSTS,
				LinearFit.of(this.memory).slope() / 1000, megabytesAtExpectedSize() * 1000));
		return lines;
	}

	private String measured(Duty duty) {
		return format("| %s | %d | %.0f | %.2f | %.4f |", duty.name(), duty.hosts(), duty.bytes(), duty.messages(),
				duty.coreShare() * PERCENT);
	}

	private String fitted(String name, List<Duty> list) {
		LinearFit bytes = fit(list, Duty::bytes);
		return format("| %s | %.2f | %.2f | %.3f | %.0f | %.2f | %.4f |", name, bytes.slope(), bytes.slopeError(),
				list.get(0).weight(), extrapolate(list, Duty::bytes), extrapolate(list, Duty::messages),
				extrapolate(list, Duty::coreShare) * PERCENT);
	}

	private static String grown(String name, List<Growth> list) {
		LinearFit bytes = LinearFit
			.of(list.stream().map((growth) -> new Point(growth.value(), growth.cost().bytes())).toList());
		LinearFit share = LinearFit
			.of(list.stream().map((growth) -> new Point(growth.value(), growth.cost().coreShare() * PERCENT)).toList());
		String values = list.stream().map((growth) -> format("%.0f", growth.value())).collect(Collectors.joining(", "));
		return format("| %s | %s | %s | %.4f | %.4f | %.6f | %.6f |", name, list.get(0).unit(), values, bytes.slope(),
				bytes.slopeError(), share.slope(), share.slopeError());
	}

	private String total() {
		return format("| all of these | | | | %.0f of %.0f | %.2f | %.4f of %.1f |", bytesAtExpectedSize(), BYTES,
				atExpectedSize(Duty::messages), coreShareAtExpectedSize() * PERCENT, CORE_SHARE * PERCENT);
	}

	private double atExpectedSize(ToDoubleFunction<Duty> value) {
		return this.duties.values().stream().mapToDouble((list) -> extrapolate(list, value)).sum();
	}

	private static double extrapolate(List<Duty> list, ToDoubleFunction<Duty> value) {
		Optional<Duty> measured = list.stream().filter((duty) -> duty.hosts() == EXPECTED_HOSTS).findFirst();
		if (measured.isPresent()) {
			return list.get(0).weight() * value.applyAsDouble(measured.get());
		}
		double highest = list.stream().mapToDouble(value).max().orElse(0);
		return list.get(0).weight() * Math.max(highest, fit(list, value).at(EXPECTED_HOSTS));
	}

	private static LinearFit fit(List<Duty> list, ToDoubleFunction<Duty> value) {
		return LinearFit.of(list.stream().map((duty) -> new Point(duty.hosts(), value.applyAsDouble(duty))).toList());
	}

	private static String format(String pattern, Object... values) {
		return String.format(Locale.ROOT, pattern, values);
	}

}
