package io.sequoialink.gateway.relay;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Many hosts that read one store for one another, in simulated time.
 */
class SharedReadingTests {

	private static final int TOPICS = 2;

	private static final long WARM_UP_MILLIS = 10_000;

	private static final String SERVERS = SimulatedFleet.SERVERS;

	private static SimulatedFleet fleet(int size, int zones, long seed) {
		SimulatedFleet fleet = new SimulatedFleet(size, zones, seed);
		fleet.heartbeats(20);
		fleet.run(WARM_UP_MILLIS);
		return fleet;
	}

	// On the users' grown sites calls to the store were the largest price of all: each of
	// 65 to 87 hosts read each topic for itself.
	@ParameterizedTest
	@CsvSource({ "8,1", "30,1", "100,4", "300,4" })
	void callsDoNotGrowWithTheHostsButWithTheZones(int hosts, int readers) {
		SimulatedFleet fleet = fleet(hosts, 4, 1);
		int before = fleet.calls();
		fleet.run(60_000);
		assertThat(fleet.calls() - before).isLessThanOrEqualTo(TOPICS * readers * (60_000 / 1400 + 1));
	}

	// The expected size: 330 hosts in 2 regions x 4 zones, 15 KB/s for all control of a
	// host.
	@Test
	void whatAReaderTellsAtTheExpectedSizeIsSmallWhileNothingChanges() {
		SimulatedFleet fleet = fleet(330, 8, 1);
		long bytes = fleet.datagramBytes();
		fleet.run(60_000);
		long bytesOfAReader = (fleet.datagramBytes() - bytes) / 8 / 60;
		assertThat(bytesOfAReader).isLessThan(15_000);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void aChangeIsKnownInTimeWhateverHappensToTheReader(long seed) {
		SimulatedFleet fleet = fleet(20, 4, seed);
		assertThat(fleet.spread(SERVERS, "calm")).isLessThanOrEqualTo(SimulatedFleet.BOUND_MILLIS);
		fleet.kill("h-000");
		assertThat(fleet.spread(SERVERS, "killed")).isLessThanOrEqualTo(SimulatedFleet.BOUND_MILLIS);
		fleet.freeze("h-001", 5000);
		assertThat(fleet.spread(SERVERS, "frozen")).isLessThanOrEqualTo(SimulatedFleet.BOUND_MILLIS);
		fleet.run(7000 + 100 * seed);
		fleet.cutFromStore("h-001");
		assertThat(fleet.spread(SERVERS, "cut off")).isLessThanOrEqualTo(SimulatedFleet.BOUND_MILLIS);
		fleet.run(300 * seed);
		assertThat(fleet.spread(SERVERS, "next reader")).isLessThanOrEqualTo(SimulatedFleet.BOUND_MILLIS);
	}

	@ParameterizedTest
	@CsvSource({ "0.02,1", "0.3,2", "0.9,3", "1,4" })
	void lostDatagramsDelayNothingBeyondTheBound(double lost, long seed) {
		SimulatedFleet fleet = fleet(40, 4, seed);
		fleet.loseDatagrams(lost);
		for (int change = 0; change < 20; change++) {
			fleet.run(137);
			String topic = (change % 2 == 0) ? SERVERS : SimulatedFleet.OPERATOR;
			assertThat(fleet.spread(topic, "change " + change)).isLessThanOrEqualTo(SimulatedFleet.BOUND_MILLIS);
		}
	}

}
