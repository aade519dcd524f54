package io.sequoialink.gateway.http;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.place.LatencyBaseline;
import io.sequoialink.gateway.place.ServerState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Results of the latency check of one attempt. The baseline is 150 ms to the head of a
 * stream and 50 ms between its events.
 */
class LatencyCheckTests {

	private static final LatencyCheck.BaselineKeys STREAM = new LatencyCheck.BaselineKeys("svc/m", "route beginning",
			true);

	private static final LatencyCheck.BaselineKeys PLAIN = new LatencyCheck.BaselineKeys("route", "route beginning",
			false);

	private final LatencyBaseline baseline = new LatencyBaseline();

	private final List<Boolean> results = new ArrayList<>();

	@BeforeEach
	void recordBaselines() {
		for (int i = 0; i < 20; i++) {
			this.baseline.observe(STREAM.head(), 150);
			this.baseline.observe(STREAM.duration(), 50);
			this.baseline.observe(PLAIN.duration(), 30);
		}
	}

	private LatencyCheck check(LatencyCheck.BaselineKeys keys) {
		return new LatencyCheck(this.baseline, keys, () -> true, this.results::add);
	}

	// Guards against an EXPOSURE violation found by the "hasty" run: streams with
	// fewer than 12 events were not evaluated at all.
	@ParameterizedTest
	@CsvSource({ "5, 60, false", "11, 60, false", "11, 420, true", "5, 420, true", "5, 190, false" })
	void shortStreamIsEvaluatedAtItsEnd(int events, double eventMillis, boolean bad) {
		LatencyCheck check = check(STREAM);
		check.headReceived(140);
		check.streamEnded(events, events * eventMillis);
		assertThat(this.results).containsExactly(bad);
	}

	// Guards against an EXPOSURE violation found by the "hasty" run: a slow stream was
	// evaluated after 16 events, which took 7 s of the 15 s of the roll-out.
	@ParameterizedTest
	@CsvSource({ "2500, 6, true", "2500, 30, false", "2500, 10, false", "2400, 0, false", "5000, 12, true" })
	void runningStreamIsSlowAsSoonAsItHasTooFewEvents(double millis, int events, boolean slow) {
		LatencyCheck check = check(STREAM);
		check.headReceived(140);
		check.eventsReceived(events, millis);
		assertThat(check.tooFewEvents(millis)).isEqualTo(slow);
	}

	@ParameterizedTest
	@CsvSource({ "140, 0", "1900, 0", "2100, 1" })
	void streamIsSlowIfItsHeadTakesSeveralTimesTheBaseline(double headMillis, int bad) {
		check(STREAM).headReceived(headMillis);
		assertThat(this.results).hasSize(bad);
	}

	@ParameterizedTest
	@CsvSource({ "60, false", "400, true" })
	void longStreamIsEvaluatedByItsEventRate(double eventMillis, boolean bad) {
		LatencyCheck check = check(STREAM);
		check.headReceived(140);
		check.eventsReceived(16, 16 * eventMillis);
		check.streamEnded(30, 30 * eventMillis);
		assertThat(this.results).containsExactly(bad);
	}

	// Guards against incident EXPOSURE (slow-four-times): a version that took four times
	// as long as the old one counted as good, as slow began at five times.
	@ParameterizedTest
	@CsvSource({ "30, 100, false", "30, 120, true", "2, 15, false", "2, 25, true" })
	void responseIsSlowFromSomewhatBelowFourTimesTheBaseline(double usualMillis, double millis, boolean bad) {
		LatencyBaseline usual = new LatencyBaseline();
		for (int i = 0; i < 20; i++) {
			usual.observe(PLAIN.duration(), usualMillis);
		}
		LatencyCheck check = new LatencyCheck(usual, PLAIN, () -> true, this.results::add);
		assertThat(check.slowHeadMillis().getAsLong() < millis).isEqualTo(bad);
		check.responseEnded(millis);
		assertThat(this.results).containsExactly(bad);
	}

	@Test
	void streamIsNotReportedWithoutABaseline() {
		LatencyCheck check = new LatencyCheck(new LatencyBaseline(), STREAM, () -> true, this.results::add);
		assertThat(check.slowHeadMillis()).isEmpty();
		assertThat(check.tooFewEvents(9000)).isFalse();
		check.headReceived(9000);
		check.streamEnded(11, 9000);
		assertThat(this.results).isEmpty();
	}

	@Test
	void slowThresholdsAreMultiplesOfTheBaseline() {
		assertThat(check(STREAM).slowHeadMillis()).hasValue(2000);
		assertThat(check(PLAIN).slowHeadMillis()).hasValue(105);
	}

	// Guards against an EXPOSURE violation found by the "hasty" run: an overdue
	// response was not counted until it arrived, so the slower a version was, the
	// fewer results there were.
	@Test
	void overdueResponseIsReportedOnceEvenIfItArrivesLater() {
		LatencyCheck check = check(STREAM);
		check.markSlow();
		check.headReceived(3000);
		check.streamEnded(3, 100);
		assertThat(this.results).containsExactly(true);
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "7, 1", "1000000007, 0" })
	void overdueResponseCountsOnlyIfItsServerShowsActivitySoon(long heardNanos, int bad) {
		ServerState server = new ServerState(
				new ServerEntry("s1", "svc", new InetSocketAddress("127.0.0.1", 1), "z", "v2", 8, false, 0, 0));
		server.bytesReceived(5);
		server.whenReceivedSince(6, 6, check(STREAM)::markSlow);
		assertThat(this.results).isEmpty();
		if (heardNanos > 0) {
			server.bytesReceived(heardNanos);
			server.bytesReceived(heardNanos + 1);
		}
		assertThat(this.results).hasSize(bad);
	}

	@Test
	void overdueResponseCountsAtOnceIfItsServerWasActive() {
		ServerState server = new ServerState(
				new ServerEntry("s1", "svc", new InetSocketAddress("127.0.0.1", 1), "z", "v2", 8, false, 0, 0));
		server.bytesReceived(7);
		server.whenReceivedSince(6, 8, check(STREAM)::markSlow);
		assertThat(this.results).containsExactly(true);
	}

}
