package io.sequoialink.decision.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetTests {

	private static final long SECOND = 1_000_000_000L;

	@Test
	void rejectsRetriesBeyondRatioAndAllowance() {
		RetryBudget budget = new RetryBudget(0.5, 2, 10 * SECOND);
		for (int i = 0; i < 4; i++) {
			budget.recordRequest("s", SECOND);
		}
		int allowed = 0;
		for (int i = 0; i < 10; i++) {
			allowed += budget.tryAcquireRetry("s", SECOND) ? 1 : 0;
		}
		assertThat(allowed).isEqualTo(4);
		assertThat(budget.tryAcquireRetry("t", SECOND)).as("another service has its own budget").isTrue();
	}

	@Test
	void requestsOlderThanTheWindowAreNotCounted() {
		RetryBudget budget = new RetryBudget(1, 0, 10 * SECOND);
		budget.recordRequest("s", SECOND);
		assertThat(budget.allowsRetry("s", 12 * SECOND)).isFalse();
	}

	// In any window, the retries stay within the ratio of the requests in the window and
	// one slice before it, plus the allowance.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void everySlidingWindowStaysWithinTheBudget(long seed) {
		Random random = new Random(seed);
		RetryBudget budget = new RetryBudget(0.9, 3, 10 * SECOND);
		List<Long> requests = new ArrayList<>();
		List<Long> retries = new ArrayList<>();
		long now = SECOND;
		for (int i = 0; i < 3000; i++) {
			now += (long) (random.nextDouble() * ((random.nextInt(50) != 0) ? SECOND / 20 : 3 * SECOND));
			if (random.nextInt(3) == 0) {
				budget.recordRequest("s", now);
				requests.add(now);
			}
			else if (budget.tryAcquireRetry("s", now)) {
				retries.add(now);
			}
		}
		for (long end : retries) {
			long retriesInWindow = retries.stream().filter((at) -> at <= end && at > end - 10 * SECOND).count();
			long requestsCounted = requests.stream().filter((at) -> at <= end && at > end - 11 * SECOND).count();
			assertThat((double) retriesInWindow).isLessThanOrEqualTo(0.9 * requestsCounted + 3);
		}
	}

}
