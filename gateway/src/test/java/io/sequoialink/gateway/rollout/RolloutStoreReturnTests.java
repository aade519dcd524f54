package io.sequoialink.gateway.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.sequoialink.decision.rollout.AnswerCounts;
import io.sequoialink.decision.rollout.RouteAnswerCounts;
import io.sequoialink.gateway.fleet.PositionedValue;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.RolloutState;
import io.sequoialink.gateway.fleet.RolloutStatus;
import io.sequoialink.gateway.fleet.StorePosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests roll-outs on one host while the store returns from an older copy.
 */
class RolloutStoreReturnTests {

	// Guards against a roll-out that begins anew because the store has returned from an
	// older copy and its order was written again at another offset.
	@ParameterizedTest
	@CsvSource({ "v2, 3, true", "v2, 9, true", "v3, 3, false" })
	void anEqualOrderOfAnotherEraIsTheSameRollOut(String target, long offset, boolean same) {
		RolloutCoordinator watch = new RolloutCoordinator("h1", new RolloutCoordinator.Options(0.15, 0),
				SingleHostRollout.recordsInto(new ArrayList<>(), new ArrayList<>()), () -> 1, new Random(1));
		watch.onOrder(new PositionedValue<>(new RolloutOrder("s", "v2", SingleHostRollout.DURATION),
				new StorePosition(1, 7)));
		Canary before = watch.canary("s");
		watch.onOrder(new PositionedValue<>(new RolloutOrder("s", target, SingleHostRollout.DURATION),
				new StorePosition(2, offset)));
		assertThat(watch.canary("s") == before).isEqualTo(same);
		assertThat(watch.canary("s").order().position()).isEqualTo(new StorePosition(2, offset));
		assertThat(watch.targetVersion("s")).isEqualTo(target);
	}

	private static PositionedValue<RolloutOrder> order(String target, long era, long offset) {
		return new PositionedValue<>(new RolloutOrder("s", target, SingleHostRollout.DURATION),
				new StorePosition(era, offset));
	}

	private static PositionedValue<RolloutStatus> status(String target, RolloutState state, long order) {
		return new PositionedValue<>(new RolloutStatus("s", target, state, order, 10), new StorePosition(2, 1));
	}

	// Guards against a roll-out to an older version that comes back with the store's
	// copy.
	@ParameterizedTest
	@CsvSource({ "true, v3", "false, v2" })
	void anOlderOrderOfTheCopyCountsOnlyIfNoOtherIsWritten(boolean writtenAgain, String expected) {
		long[] now = { 1 };
		RolloutCoordinator watch = new RolloutCoordinator("h1", new RolloutCoordinator.Options(0.15, 0),
				SingleHostRollout.recordsInto(new ArrayList<>(), new ArrayList<>()), () -> now[0], new Random(1));
		watch.onOrder(order("v3", 1, 9));
		watch.onOrderOfCopy(order("v2", 2, 5));
		watch.tick();
		assertThat(watch.targetVersion("s")).isEqualTo("v3");
		if (writtenAgain) {
			watch.onOrder(order("v3", 2, 6));
		}
		now[0] += RolloutCoordinator.WRITE_AGAIN_NANOS;
		watch.tick();
		assertThat(watch.targetVersion("s")).isEqualTo(expected);
	}

	// Guards against a state or a report of another roll-out, whose order had an offset
	// that
	// was given out again.
	@Test
	void recordsOfAnotherVersionWithTheSameOrderOffsetDoNotCount() {
		RolloutCoordinator watch = new RolloutCoordinator("h1", new RolloutCoordinator.Options(0.15, 0),
				SingleHostRollout.recordsInto(new ArrayList<>(), new ArrayList<>()), () -> 1, new Random(1));
		watch.onOrder(order("v3", 2, 7));
		watch.onStatus(status("v2", RolloutState.COMPLETED, 7));
		watch.onReport(new HostRolloutReport("s", "h2", "v2", 7,
				Map.of("r", new RouteAnswerCounts(new AnswerCounts(50, 50), new AnswerCounts(50, 0))), Set.of()));
		watch.tick();
		assertThat(watch.canary("s").ended()).isFalse();
		assertThat(watch.canary("s").stopped()).isFalse();
	}

	@Test
	void recordsThatNameTheFormerPositionOfTheOrderCount() {
		RolloutCoordinator watch = new RolloutCoordinator("h1", new RolloutCoordinator.Options(0.15, 0),
				SingleHostRollout.recordsInto(new ArrayList<>(), new ArrayList<>()), () -> 1, new Random(1));
		watch.onOrder(order("v2", 1, 7));
		watch.onOrder(order("v2", 2, 3));
		watch.onStatus(status("v2", RolloutState.ROLLED_BACK, 7));
		assertThat(watch.canary("s").ended()).isTrue();
	}

	// Guards against a verdict that is lost with the store's records: a host that starts
	// later would begin the roll-out anew.
	@ParameterizedTest
	@CsvSource({ "true, true, 0", "true, false, 1", "false, false, 0" })
	void aVerdictThatTheStoreHasLostIsWrittenAgainOnceItsOrderIsThere(boolean orderRead, boolean inCopy, int writes) {
		long[] now = { 1 };
		List<RolloutState> states = new ArrayList<>();
		RolloutCoordinator[] watch = new RolloutCoordinator[1];
		RolloutStore store = SingleHostRollout.recordsInto(new ArrayList<>(), states, () -> watch[0]);
		watch[0] = new RolloutCoordinator("h1", new RolloutCoordinator.Options(0.15, 0), store, () -> now[0],
				new Random(1));
		watch[0].onOrder(order("v2", 1, 7));
		watch[0].onStatus(status("v2", RolloutState.COMPLETED, 7));
		watch[0].storeReturned(2);
		if (orderRead) {
			watch[0].onOrder(order("v2", 2, 3));
		}
		if (inCopy) {
			watch[0].onStatus(status("v2", RolloutState.COMPLETED, 7));
		}
		SingleHostRollout.runUntilDeadline(watch[0], now);
		assertThat(states).hasSize(writes).allMatch(RolloutState.COMPLETED::equals);
	}

}
