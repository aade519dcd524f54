package io.sequoialink.gateway.http;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.place.UsualPace;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What one send says of its server's version. Streams usually begin after 150 ms and have
 * an event each 50 ms.
 */
class PaceJudgementTests {

	private static final LatencyCheck.BaselineKeys STREAM = new LatencyCheck.BaselineKeys("svc/m", "route beginning",
			true);

	private static final LatencyCheck.BaselineKeys PLAIN = new LatencyCheck.BaselineKeys("route", "route beginning",
			false);

	private final UsualPace pace = new UsualPace();

	private final List<Boolean> verdicts = new ArrayList<>();

	@BeforeEach
	void learnWhatIsUsual() {
		for (int i = 0; i < 20; i++) {
			this.pace.observe(STREAM.head(), 150);
			this.pace.observe(STREAM.duration(), 50);
			this.pace.observe(PLAIN.duration(), 30);
		}
	}

	private LatencyCheck send(LatencyCheck.BaselineKeys kinds) {
		return new LatencyCheck(this.pace, kinds, () -> true, this.verdicts::add);
	}

	// EXPOSURE on hasty: of a stream with less than 12 events nothing was judged.
	@ParameterizedTest
	@CsvSource({ "5, 60, false", "11, 60, false", "11, 420, true", "5, 420, true", "5, 190, false" })
	void aShortStreamIsJudgedAtItsEnd(int events, double eventMillis, boolean bad) {
		LatencyCheck send = send(STREAM);
		send.headReceived(140);
		send.streamEnded(events, events * eventMillis);
		assertThat(this.verdicts).containsExactly(bad);
	}

	// EXPOSURE on hasty: a slow stream was judged after 16 events, which took it 7 s of
	// the 15 s of the roll-out.
	@ParameterizedTest
	@CsvSource({ "2500, 6, true", "2500, 30, false", "2500, 10, false", "2400, 0, false", "5000, 12, true" })
	void aStreamThatGoesOnIsSlowAsSoonAsItHasTooFewEvents(double millis, int events, boolean slow) {
		LatencyCheck send = send(STREAM);
		send.headReceived(140);
		send.eventsReceived(events, millis);
		assertThat(send.tooFewEvents(millis)).isEqualTo(slow);
	}

	@ParameterizedTest
	@CsvSource({ "140, 0", "1900, 0", "2100, 1" })
	void aStreamThatBeginsSeveralTimesLaterThanUsualIsSlow(double headMillis, int bad) {
		send(STREAM).headReceived(headMillis);
		assertThat(this.verdicts).hasSize(bad);
	}

	@ParameterizedTest
	@CsvSource({ "60, false", "400, true" })
	void aLongStreamIsJudgedByItsEventsToo(double eventMillis, boolean bad) {
		LatencyCheck send = send(STREAM);
		send.headReceived(140);
		send.eventsReceived(16, 16 * eventMillis);
		send.streamEnded(30, 30 * eventMillis);
		assertThat(this.verdicts).containsExactly(bad);
	}

	@Test
	void aStreamSaysNothingWhileNothingIsKnownOfWhatIsUsual() {
		LatencyCheck send = new LatencyCheck(new UsualPace(), STREAM, () -> true, this.verdicts::add);
		assertThat(send.slowHeadMillis()).isEmpty();
		assertThat(send.tooFewEvents(9000)).isFalse();
		send.headReceived(9000);
		send.streamEnded(11, 9000);
		assertThat(this.verdicts).isEmpty();
	}

	@Test
	void theTimesAfterWhichAWaitIsSlowAreMultiplesOfTheUsual() {
		assertThat(send(STREAM).slowHeadMillis()).hasValue(2000);
		assertThat(send(PLAIN).slowHeadMillis()).hasValue(150);
	}

	// EXPOSURE on hasty: the slower a version, the less was known of it, since a wait
	// that had not ended said nothing.
	@Test
	void aWaitThatTakesTooLongIsBadOnceThoughItsAnswerComesInTheEnd() {
		LatencyCheck send = send(STREAM);
		send.markSlow();
		send.headReceived(3000);
		send.streamEnded(3, 100);
		assertThat(this.verdicts).containsExactly(true);
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "7, 1", "1000000007, 0" })
	void aWaitSaysSomethingOnlyIfItsServerIsHeardOfSoon(long heardNanos, int bad) {
		ServerState server = new ServerState(
				new ServerEntry("s1", "svc", new InetSocketAddress("127.0.0.1", 1), "z", "v2", 8, false, 0, 0));
		server.heard(5);
		server.onceHeardSince(6, 6, send(STREAM)::markSlow);
		assertThat(this.verdicts).isEmpty();
		if (heardNanos > 0) {
			server.heard(heardNanos);
			server.heard(heardNanos + 1);
		}
		assertThat(this.verdicts).hasSize(bad);
	}

	@Test
	void aServerThatWasHeardOfMeanwhileIsSlowAtOnce() {
		ServerState server = new ServerState(
				new ServerEntry("s1", "svc", new InetSocketAddress("127.0.0.1", 1), "z", "v2", 8, false, 0, 0));
		server.heard(7);
		server.onceHeardSince(6, 8, send(STREAM)::markSlow);
		assertThat(this.verdicts).containsExactly(true);
	}

}
