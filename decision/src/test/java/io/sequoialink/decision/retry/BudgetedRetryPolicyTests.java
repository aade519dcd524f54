package io.sequoialink.decision.retry;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.IntStream;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.RetryPolicy;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.Effect;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class BudgetedRetryPolicyTests {

	private final BudgetedRetryPolicy policy = new BudgetedRetryPolicy(RetrySettings.defaults());

	@ParameterizedTest
	@CsvSource({ "NONE, false, 1, 5000, retry", "NONE, true, 1, 5000, retry", "UNKNOWN, false, 1, 5000, effect_unknown",
			"UNKNOWN, true, 1, 5000, retry", "DONE, false, 1, 5000, already_run", "DONE, true, 1, 5000, retry",
			"NONE, true, 3, 5000, attempts_used", "NONE, true, 1, 55, deadline" })
	void decidesByEffectIdempotenceAndDeadline(Effect effect, boolean idempotent, int attempts, double remaining,
			String reason) {
		RetryPolicy.Decision verdict = this.policy.decide(request("q1"), attempts(effect, attempts), idempotent,
				remaining);
		assertThat(verdict.reason()).isEqualTo(reason);
		assertThat(verdict.retry()).isEqualTo("retry".equals(reason));
	}

	@Test
	void retriesStayWithinATenthOfSuccesses() {
		int retries = 0;
		for (int i = 0; i < 10_000; i++) {
			retries += this.policy.decide(request("q" + i), attempts(Effect.NONE, 1), true, 5000).retry() ? 1 : 0;
			if (i % 2 == 0) {
				this.policy.recordSuccess();
			}
		}
		assertThat(retries).isBetween(490, 510);
	}

	@Test
	void delaysGrowAndAreTheSameForTheSameRequest() {
		long first = delay("q7", 1);
		assertThat(delay("q7", 2)).isGreaterThan(first);
		assertThat(delay("q7", 1)).isEqualTo(first);
		assertThat(IntStream.range(0, 5).mapToObj((i) -> delay("x" + i, 2)).distinct().count()).isGreaterThan(1);
	}

	private long delay(String id, int attempts) {
		return new BudgetedRetryPolicy(RetrySettings.defaults())
			.decide(request(id), attempts(Effect.NONE, attempts), true, 5000)
			.delayMillis();
	}

	private static List<Attempt> attempts(Effect effect, int count) {
		return Collections.nCopies(count,
				new Attempt(new VersionId("v"), new ServerId("s"), effect, OptionalDouble.empty(), "cut_off", 10));
	}

	private static RequestFacts request(String id) {
		return new RequestFacts(new RequestId(id), new AccountId("acme"), new ClassId("c"), 0.9, 5000, 10, 10, false,
				Optional.empty(), false, 0, "aa", 0);
	}

}
