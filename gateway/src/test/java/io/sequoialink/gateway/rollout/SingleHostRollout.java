package io.sequoialink.gateway.rollout;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.sequoialink.gateway.feed.StoreReply;
import io.sequoialink.gateway.fleet.PositionedValue;
import io.sequoialink.gateway.fleet.RolloutState;
import io.sequoialink.gateway.fleet.RolloutStatus;
import io.sequoialink.gateway.fleet.StorePosition;

/**
 * Lets one coordinator run without a store, and records what it would publish.
 */
final class SingleHostRollout {

	/** Duration of the roll-outs, in milliseconds. */
	static final long DURATION = 24_000;

	private SingleHostRollout() {
	}

	static void runUntilDeadline(RolloutCoordinator watch, long[] now) {
		runFor(watch, now, DURATION);
	}

	static void runFor(RolloutCoordinator watch, long[] now, long millis) {
		long until = now[0] + millis * 1_000_000L;
		while (now[0] < until) {
			now[0] += RolloutFleet.STEP;
			watch.onRead(9);
			watch.tick();
		}
	}

	// The state that is written is read back at once.
	static RolloutStore recordsInto(List<HostRolloutReport> published, List<RolloutState> states,
			Supplier<RolloutCoordinator> reader) {
		RolloutStore writing = recordsInto(published, states);
		return new RolloutStore() {
			@Override
			public void writeStatus(RolloutStatus status, OptionalLong at, Consumer<StoreReply<Long>> reply) {
				writing.writeStatus(status, at, reply);
				reader.get().onStatus(new PositionedValue<>(status, new StorePosition(2, 9)));
			}

			@Override
			public void writeReport(HostRolloutReport report, Consumer<StoreReply<Long>> reply) {
				writing.writeReport(report, reply);
			}

			@Override
			public void readNow() {
				writing.readNow();
			}
		};
	}

	static RolloutStore recordsInto(List<HostRolloutReport> published, List<RolloutState> states) {
		return new RolloutStore() {
			@Override
			public void writeStatus(RolloutStatus status, OptionalLong at, Consumer<StoreReply<Long>> reply) {
				states.add(status.state());
				reply.accept(StoreReply.of(9L));
			}

			@Override
			public void writeReport(HostRolloutReport report, Consumer<StoreReply<Long>> reply) {
				published.add(report);
			}

			@Override
			public void readNow() {
				// this test has no store to read from
			}
		};
	}

}
