package io.sequoialink.gateway.place;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.sequoialink.gateway.permit.RequestPermits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Share of requests on time when servers differ in speed, with slowdown reports and
 * without.
 */
class SpeedFleetTests {

	@ParameterizedTest
	@CsvSource({ "PLAIN, 3, EQUAL", "PLAIN, 3, ONE_TO_FOUR", "PLAIN, 3, SLOW_AND_BACK", "PLAIN, 12, ONE_TO_FOUR",
			"PLAIN, 12, SLOW_AND_BACK", "STREAM, 42, EQUAL", "STREAM, 42, ONE_TO_FOUR", "STREAM, 42, SLOW_AND_BACK" })
	void moreRequestsAreOnTimeWhereServersDifferAndNoFewerElsewhere(SpeedFleet.Work work, int servers,
			SpeedFleet.Speeds speeds) {
		for (int hosts : new int[] { 8, 79, 330 }) {
			SpeedFleet.Settings settings = new SpeedFleet.Settings(work, speeds, hosts, servers,
					perServer(work, speeds), 60);
			double late = late(settings, SpeedFleetTests::balancer, true);
			double lateWithoutReports = late(settings, SpeedFleetTests::balancer, false);
			double others = Math.min(late(settings, SpeedFleetTests::roundRobin, false),
					late(settings, SpeedFleetTests::leastInFlight, false));
			assertThat(late).as("%d hosts", hosts)
				.isLessThanOrEqualTo(maxLate(speeds) * lateWithoutReports)
				.isLessThanOrEqualTo(others);
		}
	}

	// The use of the reports has to save callers a quarter of the late responses where
	// servers differ, and may cost none where they do not.
	private static double maxLate(SpeedFleet.Speeds speeds) {
		return (speeds == SpeedFleet.Speeds.EQUAL) ? 1 : 0.75;
	}

	private static double late(SpeedFleet.Settings settings, SpeedFleet.ChoiceFactory choice, boolean reports) {
		return 1 - SpeedFleet.shareOnTime(settings, choice, reports);
	}

	// The requests take about two thirds of what the servers can do.
	private static double perServer(SpeedFleet.Work work, SpeedFleet.Speeds speeds) {
		double usual = (work == SpeedFleet.Work.PLAIN) ? 6 / 0.086 : 1 / (0.01 + 0.06 * 0.9);
		return usual * ((speeds == SpeedFleet.Speeds.EQUAL) ? 0.65 : 0.3);
	}

	private static LoadBalancer balancer(ServerTable table, PrefillSpeed speed, String zone, LongSupplier clock,
			RandomGenerator random) {
		return new LowestLatencyBalancer(table, speed, zone, RequestPermits.NONE, clock, random);
	}

	private static LoadBalancer roundRobin(ServerTable table, PrefillSpeed speed, String zone, LongSupplier clock,
			RandomGenerator random) {
		AtomicInteger next = new AtomicInteger(random.nextInt(1000));
		return (request) -> {
			List<ServerState> usable = table.usableServers(request.service());
			return Optional.of(new SelectedServer(usable.get(next.getAndIncrement() % usable.size()), 0, 0, 0));
		};
	}

	private static LoadBalancer leastInFlight(ServerTable table, PrefillSpeed speed, String zone, LongSupplier clock,
			RandomGenerator random) {
		return (request) -> {
			List<ServerState> usable = table.usableServers(request.service());
			Collections.rotate(usable, random.nextInt(usable.size()));
			return usable.stream()
				.min(Comparator.comparingInt(ServerState::inFlight))
				.map((state) -> new SelectedServer(state, 0, 0, 0));
		};
	}

}
