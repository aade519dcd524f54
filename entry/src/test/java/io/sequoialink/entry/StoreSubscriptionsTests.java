package io.sequoialink.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreSubscriptionsTests {

	// Guards against slow starts: after failed reads of the status topic, a host that
	// had read everything else waited 2.4 s before it read the state of a roll-out and
	// became ready.
	@Test
	void retriesStatusReadsSoonerDuringARollout() {
		assertThat(StoreSubscriptions.statusPolling(true).maxRetryMillis()).isLessThanOrEqualTo(600);
		assertThat(StoreSubscriptions.statusPolling(false).maxRetryMillis()).isLessThanOrEqualTo(2400);
	}

}
