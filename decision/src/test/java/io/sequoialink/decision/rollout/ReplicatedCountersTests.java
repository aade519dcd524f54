package io.sequoialink.decision.rollout;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicatedCountersTests {

	// Payloads are lost, repeated, reordered and forwarded; the last exchange is
	// complete.
	@Property(tries = 50, seed = "1")
	void hostsAgreeAndCountEachAnswerOnce(@ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int hosts) {
		Random random = new Random(seed);
		List<ReplicatedCounters> tables = new ArrayList<>();
		for (int i = 0; i < hosts; i++) {
			tables.add(new ReplicatedCounters("h" + i, 1));
		}
		List<byte[]> sent = new ArrayList<>();
		int added = 0;
		for (int step = 0; step < 200; step++) {
			ReplicatedCounters table = tables.get(random.nextInt(hosts));
			if (random.nextBoolean()) {
				table.increment("v/a", AnswerStatistics.STARTED);
				added++;
			}
			sent.add(table.nextPayload());
			tables.get(random.nextInt(hosts)).merge(sent.get(random.nextInt(sent.size())), (cell) -> true);
		}
		tables.forEach((from) -> tables.get(0).merge(from.nextPayload(), (cell) -> true));
		assertThat(tables.get(0).total("v/a").started()).isEqualTo(added);
	}

	@Property(tries = 200, seed = "2")
	void damagedPayloadNeverThrowsOrDecreasesACount(@ForAll byte[] noise, @ForAll @IntRange(max = 60) int length) {
		ReplicatedCounters table = new ReplicatedCounters("h1", 1);
		table.increment("v/a", AnswerStatistics.STARTED);
		byte[] payload = table.nextPayload();
		ReplicatedCounters other = new ReplicatedCounters("h2", 1);
		other.merge(noise, "v/a"::equals);
		other.merge(Arrays.copyOf(payload, Math.min(length, payload.length)), "v/a"::equals);
		other.merge(payload, "v/a"::equals);
		assertThat(other.total("v/a").started()).isPositive();
	}

	@Test
	void restartedHostKeepsTheCountsOfItsEarlierProcess() {
		ReplicatedCounters first = new ReplicatedCounters("h1", 1);
		first.increment("v/a", AnswerStatistics.FAILED);
		ReplicatedCounters second = new ReplicatedCounters("h1", 2);
		second.increment("v/a", AnswerStatistics.FAILED);
		second.merge(first.nextPayload(), (cell) -> true);
		second.merge(first.nextPayload(), (cell) -> true);
		assertThat(second.total("v/a").failed()).isEqualTo(2);
	}

	@Test
	void payloadSizeIsBounded() {
		ReplicatedCounters table = new ReplicatedCounters("h1", 1);
		for (int i = 0; i < ReplicatedCounters.MAX_CELLS * 2; i++) {
			for (int index = 0; index < AnswerStatistics.SIZE; index++) {
				table.increment("v/" + i, index);
			}
		}
		assertThat(table.nextPayload().length).isLessThanOrEqualTo(ReplicatedCounters.MAX_PAYLOAD_BYTES);
		assertThat(table.cells()).hasSize(ReplicatedCounters.MAX_CELLS);
	}

}
