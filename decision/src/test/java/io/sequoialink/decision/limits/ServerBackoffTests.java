package io.sequoialink.decision.limits;

import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServerBackoffTests {

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@ParameterizedTest
	@CsvSource({ "0, false", "2999, false", "3200, false", "3300, true" })
	void allowsNoRequestUntilTheRequestedTimePlusTheJitter(long atMillis, boolean allowed) {
		ServerBackoff backoff = new ServerBackoff(0, millis(3000), millis(300));
		assertThat(allows(backoff, millis(atMillis), 0)).isEqualTo(allowed);
	}

	@Test
	void requestsRampUpWithEachStartedAnswer() {
		ServerBackoff backoff = new ServerBackoff(0, millis(1000), 0);
		assertThat(allows(backoff, millis(1001), 0)).isTrue();
		assertThat(allows(backoff, millis(1001), 1)).isFalse();
		backoff.recordAnswerStarted(millis(1010));
		assertThat(allows(backoff, millis(1011), 1)).isTrue();
		assertThat(allows(backoff, millis(1011), 2)).isFalse();
		assertThat(allows(backoff, millis(3001), 50)).isTrue();
		assertThat(backoff.isOver(millis(3001))).isTrue();
	}

	@Test
	void earlierTimeDoesNotReplaceALaterOne() {
		ServerBackoff backoff = new ServerBackoff(0, millis(5000), 0);
		backoff.extend(millis(100), millis(200), 0);
		assertThat(allows(backoff, millis(4999), 0)).isFalse();
		backoff.extend(millis(4000), millis(9000), 0);
		assertThat(allows(backoff, millis(8999), 0)).isFalse();
		assertThat(backoff.remainingNanos(millis(8000))).isEqualTo(millis(1000));
	}

	private static boolean allows(ServerBackoff backoff, long nowNanos, int inFlight) {
		return backoff.allowsRequest(nowNanos, inFlight) || backoff.allowsProbe(nowNanos, inFlight);
	}

	// The server asks for random longer and shorter times while a probe is sent whenever
	// one is allowed.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void atMostTwoProbesAreSentBeforeTheRequestedTime(long seed) {
		Random random = new Random(seed);
		long until = millis(1_000 + random.nextInt(200_000));
		ServerBackoff backoff = new ServerBackoff(0, until, millis(random.nextInt(1000)));
		int sent = 0;
		for (long now = 0; now < until; now += millis(100)) {
			if (random.nextInt(20) == 0) {
				backoff.extend(now, now + millis(random.nextInt(60_000)), 0);
			}
			if (allows(backoff, now, 0)) {
				backoff.recordSent(now);
				sent++;
			}
		}
		assertThat(sent).isLessThanOrEqualTo(ServerBackoff.MAX_PROBES);
	}

}
