package io.sequoialink.decision.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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

	// Guards against a bound of the fleet that grows with its hosts: each host uses what
	// it may beyond the ratio, all in one window.
	@ParameterizedTest
	@CsvSource({ "1, 56", "6, 52", "95, 230", "95, 56", "330, 230", "330, 0" })
	void retriesOfAllHostsTogetherStayWithinTheBudget(int hosts, double fleetSlack) {
		int requests = 0;
		int retries = 0;
		for (int host = 0; host < hosts; host++) {
			RetryBudget budget = new RetryBudget(0.9, RetryBudget.slackPerHost(fleetSlack, hosts), 10 * SECOND);
			for (int request = (host % 8 == 0) ? 10 : 0; request > 0; request--) {
				budget.recordRequest("s", SECOND);
				requests++;
			}
			for (int attempt = 0; attempt < 20; attempt++) {
				retries += budget.tryAcquireRetry("s", 2 * SECOND) ? 1 : 0;
			}
		}
		assertThat((double) retries).isLessThanOrEqualTo(0.9 * requests + fleetSlack);
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
