package io.sequoialink.gateway.count;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LabelledCountersTests {

	@Test
	void labelCombinationsAreBoundedAndEveryEventIsCounted() {
		LabelledCounters counts = new LabelledCounters("account", "outcome");
		for (int i = 0; i < 10_000; i++) {
			counts.increment("account-" + i % 2000, "answered");
		}
		assertThat(counts.counts()).hasSizeLessThanOrEqualTo(LabelledCounters.MAX_LABEL_SETS + 1);
		assertThat(counts.counts().values().stream().mapToLong(Long::longValue).sum()).isEqualTo(10_000);
		assertThat(counts.counts()).containsKey(List.of(LabelledCounters.OTHER, LabelledCounters.OTHER));
	}

	@Test
	void durationsAreCountedInTheFirstBucketWhoseLimitIsNotBelowThem() {
		DurationHistograms histograms = new DurationHistograms();
		histograms.add("r", 10);
		histograms.add("r", 10.1);
		histograms.add("r", 1e9);
		long[] counts = histograms.histograms().get("r").counts();
		assertThat(counts[0]).isEqualTo(1);
		assertThat(counts[1]).isEqualTo(1);
		assertThat(counts[counts.length - 1]).isEqualTo(1);
	}

}
