package io.sequoialink.decision.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PermitIssuerTests {

	private static final long MILLI = 1_000_000L;

	private static final long SECOND = 1000 * MILLI;

	private static final long START = 1000 * SECOND;

	private static final PermitIssuer.Key KEY = new PermitIssuer.Key(7, 0);

	private final PermitIssuer issuer = new PermitIssuer(new SplittableRandom(1), START - 60 * SECOND);

	private PermitDecision issue(double perSecond, long sinceNanos, long now, long maxWait) {
		return this.issuer.issue(KEY, new PermitIssuer.Limit(perSecond, sinceNanos), 0.25, now, maxWait);
	}

	// Guards against the incident LIMIT: a burst after a pause gets no more than the
	// rate.
	@ParameterizedTest
	@CsvSource({ "1.1, 0", "1.1, 300", "40, 0", "40, 1000", "0, 0" })
	void permitsAreAnIntervalApart(double perSecond, long maxWaitMillis) {
		SplittableRandom random = new SplittableRandom(2);
		List<Long> granted = new ArrayList<>();
		long now = START;
		for (int i = 0; i < 3000; i++) {
			now += (random.nextInt(50) == 0) ? 5 * SECOND : random.nextInt(20) * MILLI;
			PermitDecision decision = issue(perSecond, START, now, maxWaitMillis * MILLI);
			if (decision.granted()) {
				assertThat(decision.delayNanos()).isBetween(0L, maxWaitMillis * MILLI);
				granted.add(now + decision.delayNanos());
			}
		}
		assertThat(granted).hasSizeGreaterThan(5);
		for (int i = 1; i < granted.size(); i++) {
			assertThat(granted.get(i) - granted.get(i - 1))
				.isGreaterThanOrEqualTo(PermitIssuer.intervalNanos(perSecond, 0.25));
		}
	}

	@Test
	void newOwnerOfAnOlderLimitWaitsUntilThePreviousOneIsNoLongerAsked() {
		PermitDecision decision = issue(100, START - 10 * SECOND, START, 0);
		assertThat(decision.granted()).isFalse();
		assertThat(decision.nextNanos()).isBetween(PermitIssuer.TAKE_OVER_NANOS,
				PermitIssuer.TAKE_OVER_NANOS + PermitIssuer.intervalNanos(100, 0.25));
	}

	@Test
	void raisedLimitHoldsFromTheNextPermitOn() {
		long now = START;
		while (!issue(0.1, START, now, 0).granted()) {
			now += SECOND;
		}
		assertThat(issue(0.1, START, now, 0).nextNanos()).isEqualTo(40 * SECOND);
		assertThat(issue(20, START, now + 200 * MILLI, 0).granted()).isTrue();
	}

}
