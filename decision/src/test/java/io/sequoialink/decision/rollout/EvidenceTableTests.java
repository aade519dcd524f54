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

class EvidenceTableTests {

	// Payloads are lost, repeated, reordered and relayed; the last exchange is whole.
	@Property(tries = 50, seed = "1")
	void hostsAgreeOnEachAnswerCountedOnce(@ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int hosts) {
		Random random = new Random(seed);
		List<EvidenceTable> tables = new ArrayList<>();
		for (int i = 0; i < hosts; i++) {
			tables.add(new EvidenceTable("h" + i, 1));
		}
		List<byte[]> sent = new ArrayList<>();
		int added = 0;
		for (int step = 0; step < 200; step++) {
			EvidenceTable table = tables.get(random.nextInt(hosts));
			if (random.nextBoolean()) {
				table.add("v/a", Evidence.STARTED);
				added++;
			}
			sent.add(table.payload());
			tables.get(random.nextInt(hosts)).merge(sent.get(random.nextInt(sent.size())), (cell) -> true);
		}
		tables.forEach((from) -> tables.get(0).merge(from.payload(), (cell) -> true));
		assertThat(tables.get(0).total("v/a").started()).isEqualTo(added);
	}

	@Property(tries = 200, seed = "2")
	void aDamagedPayloadNeverThrowsOrLowersACount(@ForAll byte[] noise, @ForAll @IntRange(max = 60) int length) {
		EvidenceTable table = new EvidenceTable("h1", 1);
		table.add("v/a", Evidence.STARTED);
		byte[] payload = table.payload();
		EvidenceTable other = new EvidenceTable("h2", 1);
		other.merge(noise, "v/a"::equals);
		other.merge(Arrays.copyOf(payload, Math.min(length, payload.length)), "v/a"::equals);
		other.merge(payload, "v/a"::equals);
		assertThat(other.total("v/a").started()).isPositive();
	}

	@Test
	void aRestartedHostKeepsTheCountsOfItsEarlierLife() {
		EvidenceTable first = new EvidenceTable("h1", 1);
		first.add("v/a", Evidence.FAILED);
		EvidenceTable second = new EvidenceTable("h1", 2);
		second.add("v/a", Evidence.FAILED);
		second.merge(first.payload(), (cell) -> true);
		second.merge(first.payload(), (cell) -> true);
		assertThat(second.total("v/a").failed()).isEqualTo(2);
	}

	@Test
	void aPayloadIsBounded() {
		EvidenceTable table = new EvidenceTable("h1", 1);
		for (int i = 0; i < EvidenceTable.MAX_CELLS * 2; i++) {
			for (int index = 0; index < Evidence.SIZE; index++) {
				table.add("v/" + i, index);
			}
		}
		assertThat(table.payload().length).isLessThanOrEqualTo(EvidenceTable.MAX_PAYLOAD_BYTES);
		assertThat(table.cells()).hasSize(EvidenceTable.MAX_CELLS);
	}

}
