package io.sequoialink.gateway.count;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LabelledCountsTests {

	@Test
	void labelCombinationsAreBoundedAndEveryEventIsCounted() {
		LabelledCounts counts = new LabelledCounts("account", "outcome");
		for (int i = 0; i < 10_000; i++) {
			counts.add("account-" + i % 2000, "answered");
		}
		assertThat(counts.counts()).hasSizeLessThanOrEqualTo(LabelledCounts.MAX_LABEL_SETS + 1);
		assertThat(counts.counts().values().stream().mapToLong(Long::longValue).sum()).isEqualTo(10_000);
		assertThat(counts.counts()).containsKey(List.of(LabelledCounts.OTHER, LabelledCounts.OTHER));
	}

	@Test
	void durationsAreCountedInTheFirstBucketWhoseLimitIsNotBelowThem() {
		Times histograms = new Times();
		histograms.add("r", 10);
		histograms.add("r", 10.1);
		histograms.add("r", 1e9);
		long[] counts = histograms.buckets().get("r").counts();
		assertThat(counts[0]).isEqualTo(1);
		assertThat(counts[1]).isEqualTo(1);
		assertThat(counts[counts.length - 1]).isEqualTo(1);
	}

}
