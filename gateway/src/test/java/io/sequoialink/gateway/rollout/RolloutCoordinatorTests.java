package io.sequoialink.gateway.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.sequoialink.decision.rollout.AnswerCounts;
import io.sequoialink.decision.rollout.BadAnswerTest;
import io.sequoialink.decision.rollout.RolloutSettings;
import io.sequoialink.decision.rollout.RouteAnswerCounts;
import io.sequoialink.gateway.fleet.PositionedValue;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.RolloutState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests roll-outs with whole simulated fleets. The limits are those of the users'
 * deployments: within the duration of 24 s, a bad version receives at most 0.15 of the
 * requests plus 30.
 */
class RolloutCoordinatorTests {

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void goodVersionCompletesInTimeAndSessionsMoveOnceAndLate(long seed) {
		RolloutFleet fleet = new RolloutFleet(seed, 8, 0.004, 45);
		fleet.startWithoutOrder(6_000);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(23_500);
		assertThat(fleet.states()).containsExactly(RolloutState.ACTIVE, RolloutState.COMPLETED);
		assertThat(fleet.movedBackSessions()).isZero();
		assertThat(fleet.movedEarlySessions()).isLessThanOrEqualTo(3);
		assertThat(fleet.writes()).as("records written to the store").isLessThan(120);
	}

	// A session lasts as long as its next request comes soon after the end of the
	// previous one, however long that one took.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void sessionsWithLongRequestsMoveOnceAndLate(long seed) {
		RolloutFleet fleet = new RolloutFleet(seed, 8, 0.004, 45).requestDuration(7_000);
		fleet.startWithoutOrder(14_000);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(23_500);
		assertThat(fleet.movedBackSessions()).isZero();
		assertThat(fleet.movedEarlySessions()).isLessThanOrEqualTo(3);
	}

	// At a site of 87 hosts, 1 session in 20 sent requests to a second host within
	// seconds.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void sessionsThatUseSeveralHostsMoveOnceAndLate(long seed) {
		RolloutFleet fleet = new RolloutFleet(seed, 65, 0.004, 280).readInterval(1500)
			.requestDuration(3_000)
			.sessionsOnAnyHost(1500, 0.03);
		fleet.startWithoutOrder(14_000);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(11_900);
		assertThat(fleet.movedBackSessions() + fleet.movedEarlySessions()).isLessThanOrEqualTo(3);
	}

	@ParameterizedTest
	@CsvSource({ "1, 0.33", "2, 0.33", "3, 0.5", "4, 0.5", "5, 0.37", "6, 0.52" })
	void badVersionIsRolledBackWithinThePermittedExposure(long seed, double badShare) {
		RolloutFleet fleet = new RolloutFleet(seed, 8, badShare, 45);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(SingleHostRollout.DURATION);
		assertThat(fleet.states()).containsExactly(RolloutState.ACTIVE, RolloutState.ROLLED_BACK);
		assertThat((double) fleet.targetRequests()).isLessThan(0.15 * fleet.requests() + 30);
	}

	// A version may be bad in a way that no host notices, or only after its
	// completion, so the limit must hold for a version that looks good.
	@ParameterizedTest
	@CsvSource({ "1, 8, 0.15, 45", "2, 8, 0.15, 90", "3, 65, 0.0975, 290", "4, 6, 0.15, 30" })
	void versionThatLooksGoodStaysWithinThePermittedExposure(long seed, int size, double permitted, double load) {
		RolloutFleet fleet = new RolloutFleet(seed, size, 0.004, load).permittedShare(permitted).requestDuration(3_000);
		fleet.startWithoutOrder(6_000);
		long before = fleet.requests();
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(SingleHostRollout.DURATION);
		assertThat(fleet.states()).containsExactly(RolloutState.ACTIVE, RolloutState.COMPLETED);
		assertThat((double) fleet.targetRequests()).isLessThan(permitted * (fleet.requests() - before) + 30);
	}

	// The service without models at a small site receives 13 requests a second.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void badVersionWithFewRequestsIsRolledBackByItsDeadline(long seed) {
		RolloutFleet fleet = new RolloutFleet(seed, 6, 0.5, 13);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(SingleHostRollout.DURATION);
		assertThat(fleet.states()).containsExactly(RolloutState.ACTIVE, RolloutState.ROLLED_BACK);
	}

	@ParameterizedTest
	@CsvSource({ "1, 0.12", "2, 0.12", "3, 0.2", "4, 0.2", "13, 0.12", "13, 0.2" })
	void versionWithSomeBadAnswersDoesNotStayUndecided(long seed, double badShare) {
		RolloutFleet fleet = new RolloutFleet(seed, 6, badShare, 13);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(SingleHostRollout.DURATION);
		assertThat(fleet.states()).hasSize(2);
		assertThat(fleet.states().get(1)).isIn(RolloutState.COMPLETED, RolloutState.ROLLED_BACK);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void badVersionIsRolledBackWhileHostsRestart(long seed) {
		RolloutFleet fleet = new RolloutFleet(seed, 8, 0.4, 45);
		fleet.order(SingleHostRollout.DURATION);
		for (int round = 0; round < 6; round++) {
			fleet.host(round).kill();
			fleet.run(700);
			fleet.host(round).restart();
		}
		fleet.run(SingleHostRollout.DURATION - 4_200);
		assertThat(fleet.states()).containsExactly(RolloutState.ACTIVE, RolloutState.ROLLED_BACK);
		assertThat((double) fleet.targetRequests()).isLessThan(0.15 * fleet.requests() + 30);
	}

	@Test
	void goodVersionCompletesInTimeAlthoughAllHostsRestart() {
		RolloutFleet fleet = new RolloutFleet(9, 6, 0.004, 45);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(5_000);
		for (int host = 0; host < 6; host++) {
			fleet.host(host).restart();
		}
		fleet.run(18_500);
		assertThat(fleet.states()).endsWith(RolloutState.COMPLETED);
	}

	@Test
	void hostThatCannotReadStatesKeepsTheShareSmall() {
		RolloutFleet fleet = new RolloutFleet(3, 1, 0.004, 45);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(4_000);
		fleet.host(0).disconnectFromLog(true);
		fleet.run(SingleHostRollout.DURATION);
		assertThat(fleet.states()).doesNotContain(RolloutState.COMPLETED);
		assertThat((double) fleet.targetRequests()).isLessThan(0.15 * fleet.requests() + 30);
	}

	// When all sessions have just moved to the new version, every host has new counts
	// to publish, and these writes can make the conditional write of the final state
	// fail. The final state is due 800 ms before the deadline; writing it takes a
	// delay of 200 ms, a read and a write.
	@ParameterizedTest
	@CsvSource({ "1, 6, 50", "2, 6, 90", "3, 8, 50", "4, 8, 90", "5, 8, 90", "6, 8, 200", "7, 30, 200", "8, 65, 290" })
	void reportsOfManyAnswersDoNotDelayTheFinalState(long seed, int size, double load) {
		RolloutFleet fleet = new RolloutFleet(seed, size, 0.004, load).writeDelay(150);
		fleet.startWithoutOrder(6_000);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(SingleHostRollout.DURATION - 350);
		assertThat(fleet.states()).endsWith(RolloutState.COMPLETED);
	}

	// The old servers must stay if servers of the new version never start.
	@Test
	void versionWithoutAnswersNeverCompletes() {
		RolloutFleet fleet = new RolloutFleet(5, 4, 0.004, 0);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(2 * SingleHostRollout.DURATION);
		assertThat(fleet.states()).containsExactly(RolloutState.ACTIVE);
	}

	// When each of 65 hosts read every record of the others individually, they made
	// 3,500 calls to the store in a minute without changes. Hosts therefore pause
	// between two reads; their conditional writes must still succeed.
	@ParameterizedTest
	@CsvSource({ "1, 65, 0.004", "2, 65, 0.5", "3, 65, 0.37", "4, 330, 0.004", "5, 330, 0.5" })
	void manyHostsThatPauseBetweenReadsDecideInTime(long seed, int size, double badShare) {
		RolloutFleet fleet = new RolloutFleet(seed, size, badShare, 4.5 * size).readInterval(1500);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(SingleHostRollout.DURATION - 500);
		RolloutState finalState = (badShare < 0.1) ? RolloutState.COMPLETED : RolloutState.ROLLED_BACK;
		assertThat(fleet.states()).containsExactly(RolloutState.ACTIVE, finalState);
		assertThat((double) fleet.targetRequests())
			.isLessThan((badShare < 0.1) ? fleet.requests() : 0.0975 * fleet.requests());
		assertThat(fleet.conflicts()).as("rejected conditional writes").isLessThan(size);
	}

	@Test
	void oneFinalStateIsWrittenWhenSeveralHostsDecideAtOnce() {
		RolloutFleet fleet = new RolloutFleet(4, 30, 0.6, 400);
		fleet.order(SingleHostRollout.DURATION);
		fleet.run(6_000);
		assertThat(fleet.states()).containsOnlyOnce(RolloutState.ROLLED_BACK);
	}

	// Guards against incident EXPOSURE on the deployment hasty, where a slow version
	// was completed after a single compared answer.
	@ParameterizedTest
	@CsvSource({ "0, 0, false", "1, 0, false", "7, 0, false", "8, 0, true", "8, 2, false", "30, 1, true" })
	void versionCompletesOnlyAfterEnoughAnswersWithALowScore(int answers, int bad, boolean completed) {
		List<RolloutState> states = new ArrayList<>();
		long[] now = { 1 };
		RolloutStore records = SingleHostRollout.recordsInto(new ArrayList<>(), states);
		RolloutCoordinator watch = new RolloutCoordinator("h1", new RolloutCoordinator.Options(0.15, 0), records,
				() -> now[0], new Random(1));
		watch.onOrder(new PositionedValue<>(new RolloutOrder("s", "v2", SingleHostRollout.DURATION), 7));
		for (int i = 0; i < answers; i++) {
			watch.recordAnswer("s", "v2", "r", i < bad, true);
		}
		for (int i = 0; i < 200; i++) {
			watch.recordAnswer("s", "v1", "r", i < 10, true);
		}
		SingleHostRollout.runUntilDeadline(watch, now);
		assertThat(states.contains(RolloutState.COMPLETED)).isEqualTo(completed);
	}

	@Test
	void highScoreDoesNotKeepAVersionUndecidedForever() {
		List<RolloutState> states = new ArrayList<>();
		long[] now = { 1 };
		RolloutCoordinator watch = new RolloutCoordinator("h1", new RolloutCoordinator.Options(0.15, 0),
				SingleHostRollout.recordsInto(new ArrayList<>(), states), () -> now[0], new Random(1));
		watch.onOrder(new PositionedValue<>(new RolloutOrder("s", "v2", SingleHostRollout.DURATION), 7));
		for (int i = 0; i < 200; i++) {
			watch.recordAnswer("s", "v1", "r", i < 10, true);
		}
		for (int i = 0; i < 8; i++) {
			watch.recordAnswer("s", "v2", "r", i < 2, true);
		}
		SingleHostRollout.runUntilDeadline(watch, now);
		SingleHostRollout.runUntilDeadline(watch, now);
		SingleHostRollout.runUntilDeadline(watch, now);
		assertThat(states).contains(RolloutState.COMPLETED);
	}

	// Guards against incident EXPOSURE on the deployment hasty: when all requests move
	// to a slow version, its fast streams end first and make it look good.
	@Test
	void goodStreamIsCountedOnlyOnceASlowOneWouldBeRecognized() {
		FleetAnswerCounts counts = new FleetAnswerCounts("h1", new BadAnswerTest(RolloutSettings.defaults()));
		counts.recordAnswer("r", true, false, true, 0);
		counts.recordAnswer("r", true, true, true, 0);
		counts.countDueStreams(FleetAnswerCounts.GOOD_STREAM_DELAY_NANOS - 1);
		assertThat(counts.compare().tested()).isEqualTo(new AnswerCounts(1, 1));
		counts.countDueStreams(FleetAnswerCounts.GOOD_STREAM_DELAY_NANOS);
		assertThat(counts.compare().tested()).isEqualTo(new AnswerCounts(2, 1));
	}

	// Guards against incident EXPOSURE on the deployment hasty, where six hosts saw
	// one to three answers each and published none of them.
	@Test
	void eachAnswerIsPublishedWhileFewAreKnown() {
		List<HostRolloutReport> published = new ArrayList<>();
		long[] now = { 10_000_000_000L };
		RolloutCoordinator watch = new RolloutCoordinator("h1", new RolloutCoordinator.Options(0.15, 0),
				SingleHostRollout.recordsInto(published, new ArrayList<>()), () -> now[0], new Random(1));
		watch.onOrder(new PositionedValue<>(new RolloutOrder("s", "v2", SingleHostRollout.DURATION), 7));
		watch.onRead(9);
		watch.recordAnswer("s", "v2", "r", false, true);
		now[0] += FleetAnswerCounts.GOOD_STREAM_DELAY_NANOS;
		watch.tick();
		assertThat(published).hasSize(1);
	}

	// Guards against good versions that are rolled back in a large fleet, where each host
	// sees a few answers: a bad one was published at once, good ones by fours.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void goodAnswerIsPublishedAsSoonAsABadOne(boolean bad) {
		List<HostRolloutReport> published = new ArrayList<>();
		long[] now = { 10_000_000_000L };
		RolloutCoordinator watch = new RolloutCoordinator("h1", new RolloutCoordinator.Options(0.15, 0),
				SingleHostRollout.recordsInto(published, new ArrayList<>()), () -> now[0], new Random(1));
		watch.onOrder(new PositionedValue<>(new RolloutOrder("s", "v2", SingleHostRollout.DURATION), 7));
		RouteAnswerCounts ofOthers = new RouteAnswerCounts(new AnswerCounts(60, 6), new AnswerCounts(600, 60));
		watch.onReport(new HostRolloutReport("s", "h2", "v2", 7, Map.of("r", ofOthers), Set.of()));
		watch.onRead(9);
		watch.tick();
		watch.recordAnswer("s", "v2", "r", bad, false);
		watch.tick();
		assertThat(published).hasSize(1);
	}

	// Guards against incident EXPOSURE (outage before a deadline): a host completed a
	// version on what it had read before an outage of the store, 0.3 s before the others
	// had written what they had seen in it.
	@Test
	void roundOfReportsIsAwaitedAfterAnOutageOfTheStore() {
		List<RolloutState> states = new ArrayList<>();
		long[] now = { 1 };
		RolloutCoordinator watch = new RolloutCoordinator("h1", new RolloutCoordinator.Options(0.15, 0),
				SingleHostRollout.recordsInto(new ArrayList<>(), states), () -> now[0], new Random(1));
		watch.onOrder(new PositionedValue<>(new RolloutOrder("s", "v2", SingleHostRollout.DURATION), 7));
		for (int i = 0; i < 100; i++) {
			watch.recordAnswer("s", "v2", "r", false, true);
			watch.recordAnswer("s", "v1", "r", false, true);
		}
		SingleHostRollout.runFor(watch, now, 18_000);
		now[0] += 5_500_000_000L;
		SingleHostRollout.runFor(watch, now, 1_400);
		assertThat(states).doesNotContain(RolloutState.COMPLETED);
		SingleHostRollout.runFor(watch, now, 2_000);
		assertThat(states).contains(RolloutState.COMPLETED);
	}

	// Guards against the fault of incident BUDGET: a restarted host published before
	// its first read, which removed the bad answers that its earlier process had
	// published.
	@Test
	void restartedHostKeepsTheAnswersThatItPublished() {
		List<HostRolloutReport> published = new ArrayList<>();
		RolloutCoordinator watch = new RolloutCoordinator("h1", new RolloutCoordinator.Options(0.15, 0),
				SingleHostRollout.recordsInto(published, new ArrayList<>()), () -> 10_000_000_000L, new Random(1));
		watch.onOrder(new PositionedValue<>(new RolloutOrder("s", "v2", SingleHostRollout.DURATION), 7));
		watch.recordAnswer("s", "v2", "r", true, true);
		watch.tick();
		assertThat(published).isEmpty();
		RouteAnswerCounts before = new RouteAnswerCounts(new AnswerCounts(9, 5), new AnswerCounts(0, 0));
		watch.onReport(new HostRolloutReport("s", "h1", "v2", 7, Map.of("r", before), Set.of()));
		watch.onRead(9);
		watch.tick();
		assertThat(published).hasSize(1);
		assertThat(published.get(0).targetBadAnswers()).isEqualTo(6);
		assertThat(published.get(0).targetAnswers()).isEqualTo(10);
	}

	// Guards against incident EXPOSURE (review/5): on a route whose requests always
	// exceed its timeout all answers were bad, of any version, and in the sum over the
	// routes they hid the bad answers of the other routes.
	@Test
	void routeOnWhichAllAnswersAreBadHidesNothingOnTheOthers() {
		FleetAnswerCounts counts = new FleetAnswerCounts("h1", new BadAnswerTest(RolloutSettings.defaults()));
		record(counts, "charge", false, 140, 0);
		record(counts, "fetch", false, 60, 0);
		record(counts, "overdue", false, 25, 25);
		record(counts, "charge", true, 14, 3);
		record(counts, "fetch", true, 6, 1);
		record(counts, "overdue", true, 3, 3);
		assertThat(counts.compare().probablyWorse()).isTrue();
	}

	private static void record(FleetAnswerCounts counts, String route, boolean ofTarget, int answers, int bad) {
		for (int i = 0; i < answers; i++) {
			counts.recordAnswer(route, ofTarget, i < bad, false, 0);
		}
	}

}
