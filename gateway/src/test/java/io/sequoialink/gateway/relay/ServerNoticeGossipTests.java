package io.sequoialink.gateway.relay;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how a server's notice to one host reaches the other hosts, in simulated time. */
class ServerNoticeGossipTests {

	private static final long SERVER = 4711;

	private static void run(GossipFleet fleet, long millis) {
		fleet.run(millis, (host) -> {
		});
	}

	private static boolean knows(GossipFleet fleet, GossipFleet.Host host) {
		return host.notices().shouldAvoid(SERVER, fleet.nowNanos());
	}

	@ParameterizedTest
	@CsvSource({ "8, 2, 1", "95, 6, 2", "95, 6, 3", "330, 8, 4", "330, 8, 5" })
	void shutdownNoticeReachesAllHostsWithinOneAndAHalfSeconds(int hosts, int zones, long seed) {
		GossipFleet fleet = new GossipFleet(hosts, zones, seed);
		fleet.host(0).notices().recordShutdown(SERVER, fleet.nowNanos());
		assertThat(fleet.runUntilAllHosts((host) -> knows(fleet, host))).isLessThanOrEqualTo(1500);
	}

	@ParameterizedTest
	@CsvSource({ "8, 0.3", "95, 0.3", "330, 0.3", "95, 0.6" })
	void mostHostsLearnANoticeAlthoughDatagramsAreLost(int hosts, double lossRate) {
		GossipFleet fleet = new GossipFleet(hosts, 4, 9);
		fleet.loseDatagrams(lossRate);
		fleet.host(0).notices().recordShutdown(SERVER, fleet.nowNanos());
		run(fleet, 1500);
		assertThat(fleet.count((host) -> knows(fleet, host))).isGreaterThan((long) (0.9 * hosts));
	}

	@Test
	void suspendedHostDoesNotTakeOldNoticesForRecentOnes() {
		GossipFleet fleet = new GossipFleet(8, 2, 3);
		fleet.host(0).notices().recordShutdown(SERVER, fleet.nowNanos());
		run(fleet, 2500);
		assertThat(knows(fleet, fleet.host(5))).as("no longer gossiped but not expired yet").isTrue();
		fleet.host(5).advanceTimeOfDay(5000);
		run(fleet, 200);
		assertThat(knows(fleet, fleet.host(5))).isFalse();
		assertThat(knows(fleet, fleet.host(6))).isTrue();
	}

	@Test
	void changedByteLimitAppliesImmediately() {
		GossipFleet fleet = new GossipFleet(8, 2, 3);
		fleet.host(0).setMaxBytesPerSecond(0);
		run(fleet, 2000);
		fleet.host(0).notices().recordShutdown(SERVER, fleet.nowNanos());
		run(fleet, 500);
		assertThat(fleet.count((host) -> knows(fleet, host))).isEqualTo(1);
		fleet.host(0).setMaxBytesPerSecond(GossipFleet.BYTES_PER_SECOND);
		run(fleet, 2000);
		assertThat(fleet.count((host) -> knows(fleet, host))).isEqualTo(8);
	}

	@ParameterizedTest
	@CsvSource({ "0, 1", "2000, 8" })
	void lowByteLimitDelaysANoticeAndZeroBlocksIt(int bytesPerSecond, int informedHosts) {
		GossipFleet fleet = new GossipFleet(8, 2, 3, bytesPerSecond);
		run(fleet, 2000);
		fleet.host(0).notices().recordShutdown(SERVER, fleet.nowNanos());
		run(fleet, 2900);
		assertThat(fleet.count((host) -> knows(fleet, host))).isEqualTo(informedHosts);
		assertThat(fleet.maxBytesSentByAHost()).isLessThanOrEqualTo(5L * bytesPerSecond);
	}

	@Test
	void noticeExpiresOnAllHostsAndIsNotSentAgain() {
		GossipFleet fleet = new GossipFleet(95, 6, 5);
		fleet.host(0).notices().recordShutdown(SERVER, fleet.nowNanos());
		run(fleet, 3300);
		assertThat(fleet.count((host) -> knows(fleet, host))).isZero();
		long bytes = fleet.maxBytesSentByAHost();
		run(fleet, 5000);
		assertThat(fleet.maxBytesSentByAHost()).isEqualTo(bytes);
	}

	@Test
	void noticeReachesAllRunningHostsAlthoughOthersAreDown() {
		GossipFleet fleet = new GossipFleet(95, 6, 6);
		for (int i = 10; i < 26; i++) {
			fleet.host(i).setDown(true);
		}
		fleet.host(0).notices().recordShutdown(SERVER, fleet.nowNanos());
		assertThat(fleet.runUntilAllHosts((host) -> knows(fleet, host))).isLessThanOrEqualTo(1500);
	}

	// All servers send notices at the same time, each to several hosts.
	@ParameterizedTest
	@CsvSource({ "8, 2, 17", "95, 6, 43", "330, 8, 740" })
	void sentBytesStayWithinTheLimitAtEachFleetSize(int hosts, int zones, int servers) {
		GossipFleet fleet = new GossipFleet(hosts, zones, 7);
		for (long server = 0; server < servers; server++) {
			for (int host = 0; host < 8; host++) {
				fleet.host(host).notices().recordShutdown(server, fleet.nowNanos());
			}
		}
		run(fleet, 3000);
		assertThat(fleet.maxBytesSentByAHost() / 3).isLessThanOrEqualTo(GossipFleet.BYTES_PER_SECOND);
	}

}
