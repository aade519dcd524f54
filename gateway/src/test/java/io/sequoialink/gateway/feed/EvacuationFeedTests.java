package io.sequoialink.gateway.feed;

import java.util.SplittableRandom;

import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.place.EvacuatedZones;
import io.sequoialink.gateway.rollout.RolloutCoordinator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Whether a zone is evacuated after its records were read in all the ways by which they
 * come to a host.
 */
class EvacuationFeedTests extends FollowedTopic {

	private static final String ZONE = "b";

	private EvacuatedZones evacuated;

	// Steps: S the host starts, or starts anew; + and - the operator orders and deletes
	// the evacuation; D and U the store is down and up again; X it loses its history; a
	// number: it returns from a copy with as many records.
	@ParameterizedTest(name = "{0}")
	@CsvSource({ "an order is not read, S +, true", "a deletion is not read, S + -, false",
			"a repeated order hides the deletion, S + + -, false", "an outage ends it, S + D, true",
			"a start forgets it, + S, true", "a restart forgets it, S + S, true",
			"a restart revives it, S + - S, false", "a start in an outage ends it, + D S U, true",
			"a deletion in an outage is missed, S + D - U, false",
			"a deletion in lost history is missed, S + D - X U, false",
			"a copy without the record ends it, S + 0, true", "two such copies end it, S + 0 0, true",
			"a later record beside it ends it, S + D 0 o U, true",
			"a deletion after the return is not read, S + 0 -, false",
			"a deletion of the repeated order is not read, S + 0 + -, false",
			"a copy without the last order ends it, S + - + 1, true",
			"a deletion after that is not read, S + - + 1 -, false",
			"a copy with the ended order revives it, S + - 1, false", "a second copy revives it, S + - 1 1, false",
			"an earlier order revives it, S + - + - 1, false",
			"a new order after the return is taken for the ended one, S + - 1 +, true",
			"a new order read with the copy is taken for the ended one, S + - D 1 + U, true",
			"an order that only the copy shows is not believed, S D + U 1, true" })
	void guardsAgainst(String failure, String steps, boolean expected) {
		for (String step : steps.split(" ")) {
			switch (step) {
				case "S" -> startHost();
				case "+" -> this.topic.put(ZONE, "{}");
				case "-" -> this.topic.put(ZONE, "");
				case "o" -> this.topic.put("other", "{}");
				case "D" -> this.topic.down(true);
				case "U" -> this.topic.down(false);
				case "X" -> this.topic.loseHistory();
				default -> this.topic.returnFromCopy(Integer.parseInt(step));
			}
			for (int i = 0; i < 4; i++) {
				runScheduled();
			}
		}
		assertThat(this.evacuated.contains(ZONE)).as(failure).isEqualTo(expected);
		assertThat(this.evacuated.contains("other")).isEqualTo(steps.contains("o"));
		assertThat(this.evacuated.contains("")).isFalse();
	}

	private void startHost() {
		this.evacuated = new EvacuatedZones();
		RolloutCoordinator rollouts = new RolloutCoordinator("h", new RolloutCoordinator.Options(0.1, 0), null,
				() -> this.now, new SplittableRandom(1));
		FleetViewUpdater updates = new FleetViewUpdater(new FleetView(), this.evacuated, rollouts, () -> {
		}, () -> {
		}, () -> this.now);
		new TopicFollower(this.topic, new ZoneSink(updates), () -> new PollingSettings(1000, 200, 100, 100, 350, 2000),
				this::schedule, () -> this.now, this.availability, this.forwarding)
			.start();
	}

	/** Takes each key for the name of a zone. Immutable. */
	private record ZoneSink(FleetViewUpdater updates) implements RecordSink {

		@Override
		public boolean accept(KeyedRecord record, ReadPath path) {
			if (record.deleted()) {
				this.updates.evacuationEnded(record.key(), record.position(), path);
			}
			else {
				this.updates.zoneEvacuated(record.key(), record.position(), path);
			}
			return true;
		}

		@Override
		public void caughtUp(long end) {
			this.updates.operatorRecordsRead();
		}

	}

}
