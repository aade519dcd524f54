package io.sequoialink.gateway.place;

import java.net.InetSocketAddress;

import io.sequoialink.gateway.fleet.ServerEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServerSpeedTests {

	private static final long SECOND = 1_000_000_000L;

	private final ServerSpeed speed = new ServerSpeed();

	private long now = 100 * SECOND;

	@Test
	void followsAChangeWithinTwoSecondsBothWays() {
		report(100, 10);
		report(400, 10);
		assertThat(this.speed.factor(this.now)).isBetween(3.0, 4.0);
		report(100, 10);
		assertThat(this.speed.factor(this.now)).isBetween(1.0, 1.3);
	}

	private void report(int percent, int times) {
		for (int i = 0; i < times; i++) {
			this.now += SECOND / 5;
			this.speed.reported(percent, this.now);
		}
	}

	// The figure changes many times a second, so one report must not decide alone when
	// there are others.
	@Test
	void smoothsReportsInSuccession() {
		report(100, 20);
		report(800, 1);
		assertThat(this.speed.factor(this.now)).isLessThan(2.5);
	}

	// Otherwise a server that was slow once gets no request by which its recovery shows.
	@ParameterizedTest
	@ValueSource(ints = { 1, 40 })
	void returnsToUsualAsItAges(int reports) {
		report(400, reports);
		double before = this.speed.factor(this.now);
		for (int i = 0; i < 12; i++) {
			this.now += 10 * SECOND;
			double later = this.speed.factor(this.now);
			assertThat(later).isLessThan(before);
			before = later;
		}
		assertThat(before).isLessThan(1.1);
		assertThat(this.speed.ageNanos(this.now)).hasValue(120 * SECOND);
	}

	@Test
	void isBoundedForAnyReport() {
		assertThat(this.speed.factor(this.now)).isEqualTo(1);
		assertThat(this.speed.ageNanos(this.now)).isEmpty();
		report(0, 40);
		assertThat(this.speed.factor(this.now)).isBetween(0.25, 0.5);
		report(999_999_999, 40);
		assertThat(this.speed.factor(this.now)).isBetween(10.0, 16.0);
	}

	// A delay on this host's path to a server would otherwise count as much as what the
	// server says of its machine.
	@Test
	void aMeasuredTimeCountsLessThanAReport() {
		this.speed.reported(100, this.now);
		this.speed.measured(800, 100, this.now);
		assertThat(this.speed.factor(this.now)).isBetween(1.0, 1.5);
	}

	@Test
	void comparesTimesWithinAVersionAndByTheAmountOfWork() {
		SpeedMeasurement measurement = new SpeedMeasurement(new LatencyBaseline());
		ServerState usual = server("usual", "v1");
		ServerState slowVersion = server("new", "v2");
		ServerState slow = server("slow", "v1");
		for (int i = 0; i < 20; i++) {
			int thousands = 1 + i % 5;
			measurement.measured(usual, "s/m", thousands, 100 * thousands, this.now);
			measurement.measured(slowVersion, "s/m", thousands, 400 * thousands, this.now);
		}
		measurement.measured(slow, "s/m", 2, 800, this.now);
		assertThat(usual.speed().factor(this.now)).isBetween(0.99, 1.01);
		assertThat(slowVersion.speed().factor(this.now)).isBetween(0.99, 1.01);
		assertThat(slow.speed().factor(this.now)).isGreaterThan(2);
	}

	private static ServerState server(String id, String version) {
		return new ServerState(
				new ServerEntry(id, "s", new InetSocketAddress("127.0.0.1", 1), "a", version, 8, false, 0, 0));
	}

}
