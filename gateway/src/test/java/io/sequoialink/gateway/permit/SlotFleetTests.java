package io.sequoialink.gateway.permit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Falls of brittle servers in front of which 6, 95 and 330 hosts stand, in simulated
 * time, at twice the requests that the slots take. Logs the figures of the design note.
 */
class SlotFleetTests {

	private static final Logger logger = LoggerFactory.getLogger(SlotFleetTests.class);

	private static final long SECONDS = 15;

	private static SlotFleet run(boolean asks, int hosts, int servers, int slots, int workMillis, int rejections,
			double load) {
		SlotFleet fleet = new SlotFleet(asks, hosts, servers, slots, workMillis, 39);
		double capacity = servers * slots * 1000.0 / workMillis;
		fleet.run(load * capacity, rejections, SECONDS);
		logger.info(
				"{} hosts, {} servers of {} slots, {} ms a request, {} rejections bearable, load {}: asks {}, falls {}, most turned away {} a second, served {} of {} possible, {} bytes a host and second",
				hosts, servers, slots, workMillis, rejections, load, asks, fleet.falls(),
				fleet.mostTurnedAwayInASecond(), fleet.served(), (int) (SECONDS * capacity),
				(int) fleet.datagramBytesPerHostAndSecond(SECONDS));
		return fleet;
	}

	@ParameterizedTest
	@CsvSource({ "6, 4, 6, 40, 5, 2", "6, 4, 6, 40, 1, 2", "95, 6, 6, 40, 5, 2", "95, 37, 48, 1000, 8, 1.5",
			"330, 40, 16, 400, 5, 1.5", "6, 4, 6, 40, 5, 0.5" })
	void brittleServersFallNoMoreThanAllowed(int hosts, int servers, int slots, int workMillis, int rejections,
			double load) {
		SlotFleet fleet = run(true, hosts, servers, slots, workMillis, rejections, load);
		assertThat(fleet.falls()).isLessThanOrEqualTo(2 + servers / 10);
		double possible = SECONDS * servers * slots * 1000.0 / workMillis;
		assertThat(fleet.served()).isGreaterThan((int) (0.6 * Math.min(1, load) * possible));
	}

	@ParameterizedTest
	@CsvSource({ "6, 4, 6, 40, 5, 2", "95, 6, 6, 40, 5, 2" })
	void withoutAskingTheyFallMoreOften(int hosts, int servers, int slots, int workMillis, int rejections,
			double load) {
		assertThat(run(false, hosts, servers, slots, workMillis, rejections, load).falls())
			.isGreaterThan(2 + servers / 10);
	}

}
