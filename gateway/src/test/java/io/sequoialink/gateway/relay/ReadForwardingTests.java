package io.sequoialink.gateway.relay;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulates many hosts that forward store records to each other, in simulated time. */
class ReadForwardingTests {

	private static final int TOPICS = 2;

	private static final long WARM_UP_MILLIS = 10_000;

	private static final String SERVERS = ForwardingFleet.SERVERS;

	private static ForwardingFleet fleet(int size, int zones, long seed) {
		ForwardingFleet fleet = new ForwardingFleet(size, zones, seed);
		fleet.startHeartbeats(20);
		fleet.run(WARM_UP_MILLIS);
		return fleet;
	}

	// Calls to the store were the largest cost at the users' grown sites, where each
	// of 65 to 87 hosts read every topic itself.
	@ParameterizedTest
	@CsvSource({ "8,1", "30,1", "100,4", "300,4" })
	void storeCallsGrowWithTheZonesNotWithTheHosts(int hosts, int readers) {
		ForwardingFleet fleet = fleet(hosts, 4, 1);
		int before = fleet.storeCalls();
		fleet.run(60_000);
		assertThat(fleet.storeCalls() - before).isLessThanOrEqualTo(TOPICS * readers * (60_000 / 1400 + 1));
	}

	// The expected size is 330 hosts in 2 regions with 4 zones each; all control
	// traffic of a host is limited to 15 KB/s.
	@Test
	void readerSendsLittleAtTheExpectedSizeWhileNothingChanges() {
		ForwardingFleet fleet = fleet(330, 8, 1);
		long bytes = fleet.datagramBytes();
		fleet.run(60_000);
		long bytesPerReaderAndSecond = (fleet.datagramBytes() - bytes) / 8 / 60;
		assertThat(bytesPerReaderAndSecond).isLessThan(15_000);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void changeReachesAllHostsInTimeAlthoughTheReaderFails(long seed) {
		ForwardingFleet fleet = fleet(20, 4, seed);
		assertThat(fleet.millisUntilAllHostsKnow(SERVERS, "no fault"))
			.isLessThanOrEqualTo(ForwardingFleet.MAX_DELAY_MILLIS);
		fleet.kill("h-000");
		assertThat(fleet.millisUntilAllHostsKnow(SERVERS, "killed"))
			.isLessThanOrEqualTo(ForwardingFleet.MAX_DELAY_MILLIS);
		fleet.freeze("h-001", 5000);
		assertThat(fleet.millisUntilAllHostsKnow(SERVERS, "frozen"))
			.isLessThanOrEqualTo(ForwardingFleet.MAX_DELAY_MILLIS);
		fleet.run(7000 + 100 * seed);
		fleet.disconnectFromStore("h-001");
		assertThat(fleet.millisUntilAllHostsKnow(SERVERS, "disconnected"))
			.isLessThanOrEqualTo(ForwardingFleet.MAX_DELAY_MILLIS);
		fleet.run(300 * seed);
		assertThat(fleet.millisUntilAllHostsKnow(SERVERS, "next reader"))
			.isLessThanOrEqualTo(ForwardingFleet.MAX_DELAY_MILLIS);
	}

	// Guards against the incident CONFIG in a fleet: readers and followers of two eras
	// side
	// by side, and a storm of calls when all read again. The users' sites permit 2,000
	// reads a second.
	@ParameterizedTest
	@CsvSource({ "8,1", "95,2", "330,3" })
	void aChangeAfterAReturnOfTheStoreReachesAllHostsInTime(int hosts, long seed) {
		ForwardingFleet fleet = fleet(hosts, 4, seed);
		for (int change = 0; change < 5; change++) {
			fleet.millisUntilAllHostsKnow(ForwardingFleet.OPERATOR, "before " + change);
		}
		fleet.returnFromCopy(4);
		int calls = fleet.storeCalls();
		assertThat(fleet.millisUntilAllHostsKnow(ForwardingFleet.OPERATOR, "after"))
			.isLessThanOrEqualTo(ForwardingFleet.MAX_DELAY_MILLIS);
		fleet.run(1000);
		assertThat(fleet.storeCalls() - calls).isLessThan(2000);
		fleet.returnFromCopy(1);
		fleet.run(137);
		fleet.kill("h-000");
		assertThat(fleet.millisUntilAllHostsKnow(ForwardingFleet.OPERATOR, "twice"))
			.isLessThanOrEqualTo(ForwardingFleet.MAX_DELAY_MILLIS);
	}

	@ParameterizedTest
	@CsvSource({ "0.02,1", "0.3,2", "0.9,3", "1,4" })
	void lostDatagramsDelayNoChangeBeyondTheLimit(double lossRate, long seed) {
		ForwardingFleet fleet = fleet(40, 4, seed);
		fleet.loseDatagrams(lossRate);
		for (int change = 0; change < 20; change++) {
			fleet.run(137);
			String topic = (change % 2 == 0) ? SERVERS : ForwardingFleet.OPERATOR;
			assertThat(fleet.millisUntilAllHostsKnow(topic, "change " + change))
				.isLessThanOrEqualTo(ForwardingFleet.MAX_DELAY_MILLIS);
		}
	}

}
