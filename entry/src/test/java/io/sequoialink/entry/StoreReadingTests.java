package io.sequoialink.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreReadingTests {

	// A host that had read all else was not ready for 2.4 s after failed calls for what
	// was decided of a roll-out.
	@Test
	void whatIsDecidedOfARolloutIsAskedForAgainSoonAfterFailures() {
		assertThat(StoreReading.statusPace(true).longestRetryMillis()).isLessThanOrEqualTo(600);
		assertThat(StoreReading.statusPace(false).longestRetryMillis()).isLessThanOrEqualTo(2400);
	}

}
