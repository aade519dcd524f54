package io.sequoialink.membership;

import java.util.List;
import java.util.stream.IntStream;

import io.sequoialink.membership.Member.State;
import io.sequoialink.model.Brake;
import io.sequoialink.model.HostId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class GossipCoreTests {

	@ParameterizedTest
	@ValueSource(ints = { 2, 3, 8, 64 })
	void hostsFindEachOther(int hosts) {
		assertThat(VirtualFleet.settled(hosts, hosts).agreeOn(hosts)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 8, 64 })
	void crashedHostIsGivenUpByAll(int hosts) {
		VirtualFleet fleet = VirtualFleet.settled(hosts, hosts);
		fleet.crash(2);
		fleet.run(18_000);
		assertThat(fleet.agreeOn(hosts - 1)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void pausedHostIsNotGivenUpAndGivesNobodyUp(long seed) {
		VirtualFleet fleet = VirtualFleet.settled(seed, 8);
		fleet.pause(3, 7000);
		for (int i = 0; i < 30; i++) {
			fleet.run(500);
			assertThat(fleet.all()).allSatisfy((core) -> assertThat(core.members()).hasSize(8));
		}
		assertThat(fleet.agreeOn(8)).isTrue();
	}

	@Test
	void hostPausedForAMinuteComesBackByItself() {
		VirtualFleet fleet = VirtualFleet.settled(7, 8);
		fleet.pause(3, 60_000);
		fleet.run(40_000);
		assertThat(fleet.seen(0, "host-3")).isEqualTo(State.DEAD);
		fleet.run(60_000);
		assertThat(fleet.agreeOn(8)).isTrue();
	}

	@Test
	void lostMessagesGiveNobodyUp() {
		VirtualFleet fleet = new VirtualFleet(11, 0.1);
		for (int i = 0; i < 16; i++) {
			fleet.start(i, "host-" + i);
		}
		fleet.run(30_000);
		for (int i = 0; i < 120; i++) {
			fleet.run(1000);
			assertThat(fleet.all()).allSatisfy((core) -> assertThat(core.members()).hasSize(16));
		}
	}

	@Test
	void hostThatHearsNobodyGivesNobodyUpForAWhile() {
		VirtualFleet fleet = VirtualFleet.settled(5, 8);
		fleet.cut((from, to) -> from == 3 || to == 3);
		fleet.run(30_000);
		assertThat(fleet.core(3).members()).hasSize(8);
		assertThat(fleet.core(0).members()).hasSize(7);
		fleet.cut((from, to) -> false);
		fleet.run(60_000);
		assertThat(fleet.agreeOn(8)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(ints = { 8, 64 })
	void separatedRegionsFindEachOtherAgain(int hosts) {
		VirtualFleet fleet = VirtualFleet.settled(hosts, hosts);
		fleet.cut((from, to) -> from % 2 != to % 2);
		fleet.run(600_000);
		assertThat(fleet.all()).allSatisfy((core) -> assertThat(core.members()).hasSize(hosts / 2));
		fleet.cut((from, to) -> false);
		fleet.run(60_000);
		assertThat(fleet.agreeOn(hosts)).isTrue();
	}

	@Test
	void replacementAtTheSameAddressTakesThePlace() {
		VirtualFleet fleet = VirtualFleet.settled(13, 8);
		fleet.crash(4);
		fleet.start(4, "host-new");
		fleet.run(20_000);
		assertThat(fleet.agreeOn(8)).isTrue();
		assertThat(fleet.seen(0, "host-4")).isEqualTo(State.DEAD);
		assertThat(fleet.seen(0, "host-new")).isEqualTo(State.ALIVE);
	}

	@Test
	void restartedHostHasAHigherIncarnation() {
		VirtualFleet fleet = VirtualFleet.settled(17, 8);
		long before = fleet.core(4).self().incarnation();
		fleet.crash(4);
		fleet.start(4, "host-4");
		fleet.run(20_000);
		assertThat(fleet.agreeOn(8)).isTrue();
		assertThat(fleet.core(0).members()).filteredOn((member) -> member.host().value().equals("host-4"))
			.allSatisfy((member) -> assertThat(member.incarnation()).isGreaterThan(before));
	}

	@Test
	void departureIsKnownWithinASecond() {
		VirtualFleet fleet = VirtualFleet.settled(19, 64);
		fleet.post(5, fleet.core(5).leave(fleet.now()));
		fleet.run(1000);
		assertThat(fleet.all()).allSatisfy(
				(core) -> assertThat(core.members()).filteredOn((member) -> member.host().value().equals("host-5"))
					.allSatisfy((member) -> assertThat(member.state()).isEqualTo(State.LEAVING)));
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 8, 64 })
	void brakeReachesAllHostsWithinASecond(int hosts) {
		VirtualFleet fleet = VirtualFleet.settled(hosts, hosts);
		fleet.post(1, fleet.core(1).spread(brake("v1", 5)));
		fleet.run(1000);
		assertThat(fleet.all()).allSatisfy((core) -> assertThat(core.brakes()).hasSize(1));
	}

	@Test
	void brakesSetOnBothSidesOfACutAreMergedAfterwards() {
		VirtualFleet fleet = VirtualFleet.settled(23, 16);
		fleet.cut((from, to) -> from % 2 != to % 2);
		fleet.run(5000);
		for (int i = 0; i < 30; i++) {
			fleet.post(0, fleet.core(0).spread(brake("even-" + i, i)));
			fleet.post(1, fleet.core(1).spread(brake("odd-" + i, i)));
		}
		fleet.run(30_000);
		fleet.cut((from, to) -> false);
		fleet.run(30_000);
		assertThat(fleet.all()).allSatisfy((core) -> assertThat(core.brakes()).hasSize(60));
	}

	@Test
	void revisionsOfAllHostsAreKnownToAll() {
		VirtualFleet fleet = VirtualFleet.settled(29, 64);
		fleet.all().forEach((core) -> core.announceRevision(42));
		fleet.run(5000);
		assertThat(fleet.all()).allSatisfy((core) -> assertThat(core.members())
			.allSatisfy((member) -> assertThat(member.viewRevision()).isEqualTo(42)));
	}

	@Test
	void bytesOfAHostDoNotGrowWithTheFleet() {
		assertThat(meanBytes(32)).isLessThanOrEqualTo(1.25 * meanBytes(8));
	}

	@Test
	void fleetOfTheExpectedSizeSettlesAndSpreadsNews() {
		int hosts = 330;
		VirtualFleet fleet = VirtualFleet.settled(hosts, hosts);
		assertThat(fleet.agreeOn(hosts)).isTrue();
		fleet.post(1, fleet.core(1).spread(brake("v1", 5)));
		fleet.run(1000);
		assertThat(fleet.all()).allSatisfy((core) -> assertThat(core.brakes()).hasSize(1));
		fleet.all().forEach((core) -> core.announceRevision(42));
		fleet.run(5000);
		assertThat(fleet.all()).allSatisfy((core) -> assertThat(core.members())
			.allSatisfy((member) -> assertThat(member.viewRevision()).isEqualTo(42)));
		fleet.run(20_000);
		long before = sum(fleet, hosts);
		fleet.run(10_000);
		double perHost = (sum(fleet, hosts) - before) / (double) hosts / 10;
		assertThat(perHost).isLessThan(1000);
	}

	private static double meanBytes(int hosts) {
		VirtualFleet fleet = VirtualFleet.settled(31, hosts);
		long before = sum(fleet, hosts);
		fleet.run(20_000);
		return (sum(fleet, hosts) - before) / (double) hosts;
	}

	private static long sum(VirtualFleet fleet, int hosts) {
		return IntStream.range(0, hosts).mapToLong(fleet::bytesOf).sum();
	}

	private static Brake brake(String target, long atMillis) {
		return new Brake(Brake.Scope.VERSION, target, "errors", new HostId("host-1"), 3, atMillis);
	}

	@Test
	void ringsWatchEveryHostEquallyOften() {
		VirtualFleet fleet = VirtualFleet.settled(37, 64);
		List<Member> roster = fleet.core(0).members();
		for (Member watched : roster) {
			long watchers = roster.stream()
				.filter((one) -> WatchRings.of(one, roster).watched().contains(watched))
				.count();
			assertThat(watchers).isBetween(3L, 5L);
		}
	}

}
