package io.sequoialink.decision.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RepeatBudgetTests {

	private static final long SECOND = 1_000_000_000L;

	@Test
	void repeatsBeyondShareAndSlackAreRefused() {
		RepeatBudget budget = new RepeatBudget(0.5, 2, 10 * SECOND);
		for (int i = 0; i < 4; i++) {
			budget.request("s", SECOND);
		}
		int allowed = 0;
		for (int i = 0; i < 10; i++) {
			allowed += budget.tryRepeat("s", SECOND) ? 1 : 0;
		}
		assertThat(allowed).isEqualTo(4);
		assertThat(budget.tryRepeat("t", SECOND)).as("another service has its own budget").isTrue();
	}

	@Test
	void whatIsOlderThanTheWindowCountsForNothing() {
		RepeatBudget budget = new RepeatBudget(1, 0, 10 * SECOND);
		budget.request("s", SECOND);
		assertThat(budget.hasRoom("s", 12 * SECOND)).isFalse();
	}

	// In any window, repeats stay within the share of the requests in it and one slice
	// before, plus the slack.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void everySlidingWindowHolds(long seed) {
		Random random = new Random(seed);
		RepeatBudget budget = new RepeatBudget(0.9, 3, 10 * SECOND);
		List<Long> requests = new ArrayList<>();
		List<Long> repeats = new ArrayList<>();
		long now = SECOND;
		for (int i = 0; i < 3000; i++) {
			now += (long) (random.nextDouble() * ((random.nextInt(50) != 0) ? SECOND / 20 : 3 * SECOND));
			if (random.nextInt(3) == 0) {
				budget.request("s", now);
				requests.add(now);
			}
			else if (budget.tryRepeat("s", now)) {
				repeats.add(now);
			}
		}
		for (long end : repeats) {
			long inWindow = repeats.stream().filter((at) -> at <= end && at > end - 10 * SECOND).count();
			long counted = requests.stream().filter((at) -> at <= end && at > end - 11 * SECOND).count();
			assertThat((double) inWindow).isLessThanOrEqualTo(0.9 * counted + 3);
		}
	}

}
