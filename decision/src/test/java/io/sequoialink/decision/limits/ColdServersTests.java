package io.sequoialink.decision.limits;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Until when a server counts as cold, given statements of several sources.
 */
class ColdServersTests {

	private static final long MILLI = 1_000_000L;

	private static final long SERVER = 7;

	private final ColdServers cold = new ColdServers();

	private void assertColdUntil(long millis) {
		assertThat(this.cold.perSecond(SERVER, (millis - 1) * MILLI)).hasValue(12);
		assertThat(this.cold.perSecond(SERVER, millis * MILLI)).isEmpty();
	}

	// A registration of 4,500 ms arrives at 0, then a response at 1,000 ms. Guards
	// against
	// a cold time that ends by a response which the server wrote before the registration.
	@ParameterizedTest
	@CsvSource({ "4000, 500, 5000", "2000, 500, 3000", "0, 500, 1000", "2000, -5, 4500", "0, -5, 4500",
			"9000, -5, 10000" })
	void aResponseProlongsAndOnlyAYoungerOneShortens(long leftMillis, long sentMillis, long until) {
		this.cold.registered(SERVER, 12, 4500 * MILLI, 0);
		this.cold.responded(SERVER, 12, leftMillis * MILLI, sentMillis * MILLI, 1000 * MILLI);
		assertColdUntil(until);
	}

	// Registrations reach a host late, so one may be older than a response.
	@Test
	void aRegistrationDoesNotShortenWhatAResponseSaid() {
		this.cold.responded(SERVER, 12, 4500 * MILLI, 0, 10 * MILLI);
		this.cold.registered(SERVER, 12, 0, 20 * MILLI);
		assertColdUntil(4510);
	}

	@Test
	void aLaterRegistrationReplacesAnEarlierOne() {
		this.cold.registered(SERVER, 12, 4500 * MILLI, 0);
		this.cold.registered(SERVER, 12, 1000 * MILLI, 500 * MILLI);
		assertColdUntil(1500);
	}

	@Test
	void anotherHostOnlyProlongsAndTheStricterRateHolds() {
		this.cold.registered(SERVER, 12, 4500 * MILLI, 0);
		this.cold.told(SERVER, new ColdNotice(20, 1000 * MILLI), 0);
		assertColdUntil(4500);
		this.cold.told(SERVER, new ColdNotice(5, 6000 * MILLI), 0);
		assertThat(this.cold.find(SERVER, 1000 * MILLI)).contains(new ColdNotice(5, 5000 * MILLI));
	}

	@Test
	void aServerThatTurnsColdAgainIsLimitedAgain() {
		assertThat(this.cold.registered(SERVER, 12, 100 * MILLI, 0)).isTrue();
		assertThat(this.cold.anyInForce(50 * MILLI)).isTrue();
		assertThat(this.cold.anyInForce(100 * MILLI)).isFalse();
		assertThat(this.cold.removeExpired(100 * MILLI)).containsExactly(SERVER);
		assertThat(this.cold.registered(SERVER, 12, 100 * MILLI, 300 * MILLI)).isTrue();
		assertThat(this.cold.sinceNanos(SERVER, 350 * MILLI)).hasValue(300 * MILLI);
		assertColdUntil(400);
	}

	@Test
	void aServiceWithoutALimitChangesNothingUntilItGetsOne() {
		this.cold.registered(SERVER, ColdServers.UNLIMITED, 4500 * MILLI, 0);
		assertThat(this.cold.anyInForce(0)).isFalse();
		assertThat(this.cold.count(0)).isZero();
		assertThat(this.cold.limit(SERVER, 12, 1000 * MILLI)).isTrue();
		assertThat(this.cold.sinceNanos(SERVER, 1000 * MILLI)).hasValue(1000 * MILLI);
		assertColdUntil(4500);
	}

}
