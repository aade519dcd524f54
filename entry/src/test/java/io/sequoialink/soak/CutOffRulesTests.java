package io.sequoialink.soak;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The soak's rules for first tries at hosts that are cut off, and for falls of brittle
 * servers, at their bounds.
 */
class CutOffRulesTests {

	private static final long CUT = 1_000_000_000L;

	private static final long COUNTED = CUT + Bounds.millisToNanos(Bounds.STABILIZATION_MILLIS);

	private long now = CUT;

	private final PromiseChecker checker = new PromiseChecker(new DisturbanceTracker(() -> this.now), () -> this.now);

	private void firstTries(String host, int sent, int served) {
		for (int i = 0; i < sent; i++) {
			TrackedRequest request = this.checker.recordSent(host + i, TrackedRequest.Kind.SAFE, "acme", host,
					"/safe/x");
			request.firstTry = true;
			this.checker.recordResponse(request, (i < served) ? 200 : 503);
		}
	}

	// With 40 + 100 first tries, 12 may fail at the cut-off hosts.
	@ParameterizedTest
	@CsvSource({ "40, 0, 100, 100, true", "40, 26, 100, 100, true", "40, 27, 100, 100, false", "40, 13, 100, 50, true",
			"40, 14, 100, 50, false", "12, 0, 100, 100, false", "13, 0, 100, 100, true", "40, 0, 0, 0, false" })
	void firstTriesAtCutOffHostsAreComparedWithTheOthers(int sent, int served, int otherSent, int otherServed,
			boolean broken) {
		this.checker.recordCut(Set.of("h1"));
		firstTries("h1", 50, 0);
		this.now = COUNTED;
		firstTries("h1", sent, served);
		firstTries("h2", otherSent, otherServed);
		this.checker.recordCutEnded();
		assertThat(this.checker.violations().stream().anyMatch((each) -> each.rule().equals("RECOVER")))
			.isEqualTo(broken);
	}

	@ParameterizedTest
	@CsvSource({ "2, false", "3, true" })
	void brittleServersMayFallTwice(int falls, boolean broken) {
		this.checker.recordBrittle(3);
		for (int i = 0; i < falls; i++) {
			this.checker.recordSent("q" + i, TrackedRequest.Kind.SMALL, "acme", "h1", "/small/x");
			this.checker.recordTurnedAway("q" + i, "i-1");
			this.checker.recordFall("i-1");
		}
		this.checker.recordBrittleEnded();
		assertThat(this.checker.violations().stream().anyMatch((each) -> each.rule().equals("LIMIT")))
			.isEqualTo(broken);
	}

	@Test
	void aBrittleServerFallsWhenItTurnsAwayMoreThanItNamed() {
		Brittleness server = new Brittleness();
		server.begin(2, CUT);
		assertThat(server.header()).isEqualTo("server-brittle: 2\r\n");
		assertThat(server.turnAway(CUT)).as("before it is strict").isFalse();
		long strict = COUNTED + 1;
		assertThat(server.turnAway(strict)).isFalse();
		assertThat(server.turnAway(strict)).isFalse();
		assertThat(server.turnAway(strict)).isTrue();
		server.end();
		assertThat(server.header()).isEmpty();
		assertThat(server.turnAway(strict)).isFalse();
	}

}
